/**
 * Membership by gossip with suspicion, after "SWIM: Scalable Weakly-consistent Infection-style
 * Process Group Membership Protocol" (Das, Gupta, Motivala). Without I/O or clock; random choices
 * follow from a seed.
 */
package ashlink.fleet.membership;
