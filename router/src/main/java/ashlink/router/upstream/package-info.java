/** Connections to engines: pools, handshakes, health checks, load reports and error codes. */
package ashlink.router.upstream;
