/** A client of the native protocol that enforces its own deadlines and records the replies. */
package ashlink.loadtest.client;
