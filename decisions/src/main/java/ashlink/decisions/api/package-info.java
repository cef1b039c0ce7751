/**
 * The interface of the workload manager: its settings, the events that it handles and the actions
 * that it returns. The types are immutable and perform no I/O, so that a router, a simulator and a
 * replay tool can all drive an implementation.
 */
package ashlink.decisions.api;
