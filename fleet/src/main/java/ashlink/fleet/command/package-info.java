/**
 * Operators' commands for engines and routers, replicated among routers without coordination as a
 * CRDT. The code performs no I/O and reads no clock; random choices are determined by a seed.
 */
package ashlink.fleet.command;
