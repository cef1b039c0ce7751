package ashlink.wire;

import java.io.IOException;

/** Reads a nullable column: a null flag for each row, then the values of all rows. */
record NullableReader(ValueReader inner) implements ValueReader {
    @Override
    public void readPrefix(ByteSource in) throws IOException {
        inner.readPrefix(in);
    }

    @Override
    public Object[] read(ByteSource in, int rows) throws IOException {
        byte[] nulls = new byte[rows];
        in.readFully(nulls, 0, rows);
        Object[] values = inner.read(in, rows);
        for (int i = 0; i < rows; i++) {
            values[i] = nulls[i] != 0 ? null : values[i];
        }
        return values;
    }
}
