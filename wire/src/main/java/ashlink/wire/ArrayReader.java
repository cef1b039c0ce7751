package ashlink.wire;

import java.io.IOException;
import java.util.Arrays;

/**
 * Reads a column of arrays: the end offset of the array in each row, then the elements of all rows.
 */
record ArrayReader(ValueReader inner) implements ValueReader {
    @Override
    public void readPrefix(ByteSource in) throws IOException {
        inner.readPrefix(in);
    }

    @Override
    public Object[] read(ByteSource in, int rows) throws IOException {
        long[] ends = new long[rows];
        long previousEnd = 0;
        for (int i = 0; i < rows; i++) {
            ends[i] = in.readLong();
            if (ends[i] < previousEnd || ends[i] > ValueReaders.MAX_VALUES) {
                throw new WireException(
                        WireException.Reason.MALFORMED,
                        "invalid array end "
                                + ends[i]
                                + ": at least "
                                + previousEnd
                                + " and at most "
                                + ValueReaders.MAX_VALUES);
            }
            previousEnd = ends[i];
        }
        Object[] elements = inner.read(in, (int) previousEnd);
        Object[] values = new Object[rows];
        int from = 0;
        for (int i = 0; i < rows; i++) {
            values[i] = Arrays.asList(Arrays.copyOfRange(elements, from, (int) ends[i]));
            from = (int) ends[i];
        }
        return values;
    }
}
