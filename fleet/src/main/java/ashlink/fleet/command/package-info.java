/**
 * Operators' commands for engines and routers, replicated without coordination as a CRDT. Without
 * I/O or clock; random choices follow from a seed.
 */
package ashlink.fleet.command;
