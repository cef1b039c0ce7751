/**
 * Emulated engines, written from the public specification of the protocol and from operators'
 * descriptions of their engines. They share only the codec with the router: their state and their
 * records are independent of the router's, so that tests can check the router against them.
 */
package ashlink.emulator;
