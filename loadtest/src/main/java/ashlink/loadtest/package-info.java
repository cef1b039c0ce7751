/**
 * Load test harness: runs routers and emulated engines in one process, generates load, injects
 * faults, checks the invariants of the workload manager, and measures the router in benchmarks.
 */
package ashlink.loadtest;
