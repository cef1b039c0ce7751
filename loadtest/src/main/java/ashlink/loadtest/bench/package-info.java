/** Benchmarks of the router, compared with a direct connection and a TCP relay in the same run. */
package ashlink.loadtest.bench;
