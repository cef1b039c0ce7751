package ashlink.wire;

import java.io.IOException;

/**
 * Reads the values of a column exactly. A value is a {@code Long} (integers up to 32 bits), a
 * {@code BigInteger} (wider ones), {@code Float}, {@code Double}, {@code Boolean}, {@code
 * BigDecimal}, a {@code String} (dates, times, enumerations, UUIDs, addresses), a {@code byte[]}
 * (texts, which may be any bytes), a {@code List} (arrays, tuples; maps as lists of pairs), or
 * null.
 */
public interface ValueReader {

    /** Reads the prefix of the values of a column, once for a column with rows. */
    default void readPrefix(ByteSource in) throws IOException {}

    /** Reads that many values. */
    Object[] read(ByteSource in, int rows) throws IOException;

    /**
     * A reader of that type; {@code UNKNOWN_TYPE} or {@code MALFORMED} as {@link TypeParser#parse}
     * has it.
     */
    static ValueReader of(String type) throws WireException {
        TypeParser.parse(type);
        return ValueReaders.of(TypeParser.term(type));
    }
}
