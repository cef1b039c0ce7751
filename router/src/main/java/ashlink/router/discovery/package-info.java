/** The list of engines: what is believed of them, and the last list kept through a restart. */
package ashlink.router.discovery;
