/**
 * The planner of background work: which task runs when, and with how much processor time and disk
 * traffic. Pure state: no I/O, clock, thread or unseeded randomness.
 */
package ashlink.background.plan;
