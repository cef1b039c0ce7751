/**
 * Gives a statement its class: by the rules of the settings, and by what little is read of its
 * text. No I/O.
 */
package ashlink.router.classify;
