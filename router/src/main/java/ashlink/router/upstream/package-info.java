/**
 * Connections to engines: made, kept while idle, probed, and closed where their state is in doubt.
 */
package ashlink.router.upstream;
