/** When a process that ended is started again. Without I/O or clock. */
package ashlink.fleet.supervise;
