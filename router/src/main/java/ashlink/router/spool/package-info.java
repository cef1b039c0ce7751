/**
 * Where results wait for their clients, and where keys outlive a router: files, and what is sure of
 * them.
 */
package ashlink.router.spool;
