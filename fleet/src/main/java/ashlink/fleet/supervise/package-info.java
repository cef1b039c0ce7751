/** Restart policy of a supervised process. The code performs no I/O and reads no clock. */
package ashlink.fleet.supervise;
