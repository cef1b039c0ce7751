/** Load as the brief tells of it: clients with deadlines and retries, and what they saw. */
package ashlink.loadtest.load;
