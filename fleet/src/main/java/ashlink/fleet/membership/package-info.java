/**
 * Gossip-based membership with failure suspicion, following "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol" (Das, Gupta, Motivala). The code performs no
 * I/O and reads no clock; random choices are determined by a seed.
 */
package ashlink.fleet.membership;
