package ashlink.wire;

import java.io.IOException;

/**
 * Reads the exact values of a column. A value is a {@code Long} (integers of up to 32 bits), a
 * {@code BigInteger} (larger integers), a {@code Float}, a {@code Double}, a {@code Boolean}, a
 * {@code BigDecimal}, a {@code String} (dates, times, enumerations, UUIDs, IP addresses), a {@code
 * byte[]} (strings, which may contain arbitrary bytes), a {@code List} (arrays and tuples; maps as
 * lists of pairs), or null.
 */
public interface ValueReader {

    /** Reads the prefix before the values of a column; called once for a column that has rows. */
    default void readPrefix(ByteSource in) throws IOException {}

    /** Reads the given number of values. */
    Object[] read(ByteSource in, int rows) throws IOException;

    /**
     * Returns the reader of a column type; throws {@code UNKNOWN_TYPE} or {@code MALFORMED} in the
     * same cases as {@link TypeParser#parse}.
     */
    static ValueReader of(String type) throws WireException {
        TypeParser.parse(type);
        return ValueReaders.of(TypeParser.term(type));
    }
}
