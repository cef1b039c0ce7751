/**
 * The interface of the workload manager: its settings, the events it is given and the actions it
 * returns. The types are immutable and have no I/O, so that any router, simulator or replay can
 * drive an implementation.
 */
package ashlink.decisions.api;
