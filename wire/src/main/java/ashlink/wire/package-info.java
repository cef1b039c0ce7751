/**
 * Codec for a subset of the ClickHouse native protocol, following the public specification.
 * Converts between bytes and packets, without sockets and threads of its own. The supported subset
 * is listed in {@code docs/native-protocol.md}.
 */
package ashlink.wire;
