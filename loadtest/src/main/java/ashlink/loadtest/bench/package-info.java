/** Measures the router beside a direct connection and a plain relay, in one run. */
package ashlink.loadtest.bench;
