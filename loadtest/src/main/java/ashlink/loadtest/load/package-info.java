/** Open-loop load from clients with timeouts and retries, and the records of their attempts. */
package ashlink.loadtest.load;
