/**
 * Append-only logs of checksummed frames in segment files. {@link ashlink.capture.log.Disk}
 * abstracts the file system.
 */
package ashlink.capture.log;
