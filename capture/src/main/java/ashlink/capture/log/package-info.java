/**
 * Append-only logs of checksummed frames in segment files. {@link ashlink.capture.log.Disk}
 * separates them from the file system.
 */
package ashlink.capture.log;
