/**
 * Frames between a router and those who control it, over mutual TLS; bounded in size, number and
 * rate.
 */
package ashlink.control.channel;
