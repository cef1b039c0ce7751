/**
 * Keys and certificates of a fleet: a private authority, one certificate a router and an operator,
 * mutual TLS.
 */
package ashlink.control.tls;
