/**
 * The core of a router: requests and answers of no particular protocol, the thread that owns the
 * decision module, and attempts. Fronts bring requests and sinks for their answers; a transport
 * probes engines.
 */
package ashlink.router.core;
