/**
 * How an engine works off what it is given: cores, disks, memory, held tables, warming up, falling
 * over. No I/O, no clock.
 */
package ashlink.emulator.model;
