/** Restarts of a process that exited. Without I/O or clock. */
package ashlink.fleet.supervise;
