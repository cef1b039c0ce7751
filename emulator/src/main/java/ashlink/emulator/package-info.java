/**
 * Stand-ins for engines, written from the public specification of the protocol and from what
 * operators tell of their engines. They share the codec with the router and nothing else: what they
 * know, and what they note, is their own.
 */
package ashlink.emulator;
