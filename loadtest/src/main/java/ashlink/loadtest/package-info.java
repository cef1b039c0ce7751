/**
 * The rig: fleets in one process, load, scripted days, the checker of the rules, baselines and
 * benchmarks.
 */
package ashlink.loadtest;
