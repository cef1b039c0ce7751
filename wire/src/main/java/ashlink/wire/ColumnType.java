package ashlink.wire;

import java.io.IOException;
import java.util.List;

/** Layout of a column, in the detail that is needed to find the end of the column. */
public sealed interface ColumnType {

    /** Limit on one string in a column; larger than any accepted block. */
    long MAX_STRING_BYTES = Integer.MAX_VALUE;

    /** Skips the prefix before the values of a column; called once for a column that has rows. */
    default void skipPrefix(ByteSource in) throws IOException {}

    /** Skips the given number of values. */
    void skipValues(ByteSource in, long rows) throws IOException;

    /** Values of a fixed size in bytes. */
    record Fixed(long bytes) implements ColumnType {
        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            in.skip(product(bytes, rows));
        }
    }

    /** Strings of variable length. */
    record Text() implements ColumnType {
        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            in.skipStrings(rows, MAX_STRING_BYTES);
        }
    }

    /** Nullable values: one byte for each row that marks a null, then the values of all rows. */
    record Nullable(ColumnType inner) implements ColumnType {
        @Override
        public void skipPrefix(ByteSource in) throws IOException {
            inner.skipPrefix(in);
        }

        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            in.skip(rows);
            inner.skipValues(in, rows);
        }
    }

    /** Arrays: the end offset of the array in each row, then the elements of all arrays. */
    record Array(ColumnType inner) implements ColumnType {
        @Override
        public void skipPrefix(ByteSource in) throws IOException {
            inner.skipPrefix(in);
        }

        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            if (rows > 0) {
                in.skip(product(Long.BYTES, rows - 1));
                long elements = in.readLong();
                if (elements < 0) {
                    throw new WireException(
                            WireException.Reason.TOO_LARGE,
                            "invalid array end "
                                    + Long.toUnsignedString(elements)
                                    + ": at most 2^63 - 1");
                }
                inner.skipValues(in, elements);
            }
        }
    }

    /** Tuples: one column for each element. */
    record Tuple(List<ColumnType> elements) implements ColumnType {
        @Override
        public void skipPrefix(ByteSource in) throws IOException {
            for (ColumnType columnType : elements) {
                columnType.skipPrefix(in);
            }
        }

        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            for (ColumnType columnType : elements) {
                columnType.skipValues(in, rows);
            }
        }
    }

    /** Dictionary-encoded values: blocks of a dictionary followed by an index for each row. */
    record LowCardinality(ColumnType inner) implements ColumnType {
        private static final long VERSION = 1;
        private static final int HAS_ADDITIONAL_KEYS = 1 << 9;
        private static final int NEEDS_GLOBAL_DICTIONARY = 1 << 8;

        /** Largest width: an index has {@code 1 << width} bytes, at most 8. */
        private static final int MAX_INDEX_WIDTH = 3;

        @Override
        public void skipPrefix(ByteSource in) throws IOException {
            long version = in.readLong();
            if (version != VERSION) {
                throw new WireException(
                        WireException.Reason.UNKNOWN_TYPE,
                        "unsupported version "
                                + version
                                + " of a LowCardinality column: expected "
                                + VERSION);
            }
        }

        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            long remaining = rows;
            while (remaining > 0) {
                long flags = in.readLong();
                int indexWidth = (int) (flags & 0xff);
                if (indexWidth > MAX_INDEX_WIDTH
                        || (flags & NEEDS_GLOBAL_DICTIONARY) != 0
                        || (flags & HAS_ADDITIONAL_KEYS) == 0) {
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE,
                            "unsupported dictionary flags 0x" + Long.toHexString(flags));
                }
                inner.skipValues(in, in.readLong());
                long blockRows = in.readLong();
                if (blockRows <= 0 || blockRows > remaining) {
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "invalid number of dictionary indexes "
                                    + blockRows
                                    + ": expected 1 to "
                                    + remaining);
                }
                in.skip(product(1L << indexWidth, blockRows));
                remaining -= blockRows;
            }
        }
    }

    private static long product(long size, long count) throws WireException {
        long product = size * count;
        if (size < 0 || count < 0 || Math.multiplyHigh(size, count) != 0 || product < 0) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "invalid column size of "
                            + count
                            + " values of "
                            + size
                            + " bytes: at most 2^63 - 1 bytes");
        }
        return product;
    }
}
