package ashlink.wire;

import java.io.IOException;

/**
 * Reads a {@code LowCardinality} column: blocks of a dictionary followed by indexes into the
 * dictionary. The first entry of a nullable dictionary represents null.
 */
record DictionaryReader(ValueReader inner, boolean nullable) implements ValueReader {

    private static final long INDEX_WIDTH_MASK = 0xff;

    @Override
    public void readPrefix(ByteSource in) throws IOException {
        // The version is not checked here; ColumnType.LowCardinality checks the version when
        // columns are skipped.
        in.readLong();
    }

    @Override
    public Object[] read(ByteSource in, int rows) throws IOException {
        Object[] values = new Object[rows];
        int done = 0;
        while (done < rows) {
            int indexWidth = (int) (in.readLong() & INDEX_WIDTH_MASK);
            Object[] dictionary = inner.read(in, count(in.readLong(), ValueReaders.MAX_VALUES));
            int blockRows = count(in.readLong(), rows - done);
            if (blockRows == 0) {
                throw new WireException(
                        WireException.Reason.MALFORMED,
                        "invalid number of dictionary indexes 0: at least 1");
            }
            for (int i = 0; i < blockRows; i++) {
                int index = readIndex(in, indexWidth);
                if (index < 0 || index >= dictionary.length) {
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "invalid dictionary index "
                                    + index
                                    + ": expected 0 to "
                                    + (dictionary.length - 1));
                }
                values[done++] = nullable && index == 0 ? null : dictionary[index];
            }
        }
        return values;
    }

    private static int readIndex(ByteSource in, int width) throws IOException {
        return switch (width) {
            case 0 -> in.readByte();
            case 1 -> in.readUnsignedShort();
            case 2 -> in.readInt();
            default -> (int) in.readLong();
        };
    }

    private static int count(long value, long max) throws WireException {
        if (value < 0 || value > max) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "invalid count " + value + " in a dictionary: expected 0 to " + max);
        }
        return (int) value;
    }
}
