package ashlink.wire;

import java.io.IOException;
import java.util.List;

/** The layout of a column, as far as is needed to find its end. */
public sealed interface ColumnType {

    /** Longest text in a column: longer than any block may be. */
    long TEXT_BYTES = Integer.MAX_VALUE;

    /** Skips the prefix of the values of a column, once for a column with rows. */
    default void skipPrefix(ByteSource in) throws IOException {}

    /** Skips that many values. */
    void skipValues(ByteSource in, long rows) throws IOException;

    /** Values of a fixed size, in bytes. */
    record Fixed(long bytes) implements ColumnType {
        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            in.skip(product(bytes, rows));
        }
    }

    /** Texts of any length. */
    record Text() implements ColumnType {
        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            in.skipStrings(rows, TEXT_BYTES);
        }
    }

    /** A byte for each value that says whether it is null, then the values. */
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

    /** The index at which each array ends, then the elements of all arrays. */
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
                            WireException.Reason.TOO_LARGE, "an array ends past 2^63");
                }
                inner.skipValues(in, elements);
            }
        }
    }

    /** A column for each element. */
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

    /** Blocks of a dictionary, and for each value its index there. */
    record LowCardinality(ColumnType inner) implements ColumnType {
        private static final long VERSION = 1;
        private static final int OWN_KEYS = 1 << 9;
        private static final int SHARED_KEYS = 1 << 8;

        /** Indexes have {@code 1 << width} bytes, up to 8. */
        private static final int MAX_INDEX_WIDTH = 3;

        @Override
        public void skipPrefix(ByteSource in) throws IOException {
            long version = in.readLong();
            if (version != VERSION) {
                throw new WireException(
                        WireException.Reason.UNKNOWN_TYPE,
                        "low-cardinality columns of version " + version + " are unknown");
            }
        }

        @Override
        public void skipValues(ByteSource in, long rows) throws IOException {
            long remaining = rows;
            while (remaining > 0) {
                long flags = in.readLong();
                int indexWidth = (int) (flags & 0xff);
                if (indexWidth > MAX_INDEX_WIDTH
                        || (flags & SHARED_KEYS) != 0
                        || (flags & OWN_KEYS) == 0) {
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE,
                            "a dictionary with flags " + Long.toHexString(flags) + " is unknown");
                }
                inner.skipValues(in, in.readLong());
                long blockRows = in.readLong();
                if (blockRows <= 0 || blockRows > remaining) {
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "a dictionary is followed by "
                                    + blockRows
                                    + " of "
                                    + remaining
                                    + " values");
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
                    count + " values of " + size + " bytes are too many");
        }
        return product;
    }
}
