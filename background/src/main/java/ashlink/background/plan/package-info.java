/**
 * Plans background work: which task runs when, and how much processor time and disk traffic each
 * run gets. The planner is deterministic: it uses no I/O, clock, thread or unseeded randomness.
 */
package ashlink.background.plan;
