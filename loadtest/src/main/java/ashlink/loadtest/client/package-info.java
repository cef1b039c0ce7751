/** A client of the native protocol for the rig: keeps its own deadline, and notes what it saw. */
package ashlink.loadtest.client;
