/**
 * The control channel, over which other routers and operators send JSON frames to a router. All
 * connections use mutual TLS; the size of frames, their rate and the number of connections are
 * limited.
 */
package ashlink.control.channel;
