/**
 * Performance model of an engine: cores, disks, memory, locked tables, warm-up and collapse under
 * overload. Has no I/O and no clock.
 */
package ashlink.emulator.model;
