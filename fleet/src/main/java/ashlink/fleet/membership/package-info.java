/**
 * Who is there: membership by gossip with suspicion, after "SWIM: Scalable Weakly-consistent
 * Infection-style Process Group Membership Protocol" (Das, Gupta, Motivala). Without I/O, clock or
 * randomness but a seed.
 */
package ashlink.fleet.membership;
