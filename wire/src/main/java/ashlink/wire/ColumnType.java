package ashlink.wire;

import java.io.IOException;
import java.util.List;

/** A type of column, as far as it takes to find where a column of it ends. */
public sealed interface ColumnType {

    /** Longest text in a column: longer than any block may be. */
    long TEXT_BYTES = Integer.MAX_VALUE;

    /** Passes over what stands before the values of a column, once for a column with rows. */
    default void skipPrefix(ByteSource in) throws IOException {}

    /** Passes over that many values. */
    void skipValues(ByteSource in, long rows) throws IOException;

    /** Values of one size. */
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

    /** Where each array ends, then the elements of all. */
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

    /** A dictionary in each block, and for each value its number there. */
    record LowCardinality(ColumnType inner) implements ColumnType {
        private static final long VERSION = 1;
        private static final int OWN_KEYS = 1 << 9;
        private static final int SHARED_KEYS = 1 << 8;

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
            long left = rows;
            while (left > 0) {
                long flags = in.readLong();
                int width = (int) (flags & 0xff);
                if (width > 3 || (flags & SHARED_KEYS) != 0 || (flags & OWN_KEYS) == 0) {
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE,
                            "a dictionary with flags " + Long.toHexString(flags) + " is unknown");
                }
                inner.skipValues(in, in.readLong());
                long here = in.readLong();
                if (here <= 0 || here > left) {
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "a dictionary is followed by " + here + " of " + left + " values");
                }
                in.skip(product(1L << width, here));
                left -= here;
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
