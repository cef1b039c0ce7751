/**
 * Keys and certificates for the mutual TLS of a fleet: a private certificate authority, and one
 * certificate per router and operator.
 */
package ashlink.control.tls;
