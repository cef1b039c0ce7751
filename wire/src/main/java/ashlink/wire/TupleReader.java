package ashlink.wire;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/** Reads a column of tuples: one column for each element, one after the other. */
record TupleReader(List<ValueReader> elements) implements ValueReader {
    @Override
    public void readPrefix(ByteSource in) throws IOException {
        for (ValueReader element : elements) {
            element.readPrefix(in);
        }
    }

    @Override
    public Object[] read(ByteSource in, int rows) throws IOException {
        Object[][] columns = new Object[elements.size()][];
        for (int c = 0; c < columns.length; c++) {
            columns[c] = elements.get(c).read(in, rows);
        }
        Object[] values = new Object[rows];
        for (int i = 0; i < rows; i++) {
            Object[] row = new Object[columns.length];
            for (int c = 0; c < columns.length; c++) {
                row[c] = columns[c][i];
            }
            values[i] = Arrays.asList(row);
        }
        return values;
    }
}
