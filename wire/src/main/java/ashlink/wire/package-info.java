/**
 * Codec of a subset of the ClickHouse native protocol, by its public specification: bytes to
 * packets and back, with no sockets and no threads of its own. What is served is listed in {@code
 * docs/native-protocol.md}.
 */
package ashlink.wire;
