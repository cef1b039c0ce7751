/**
 * What background work runs when, and with how much: decided without I/O, clock, thread or unseeded
 * randomness.
 */
package ashlink.background.plan;
