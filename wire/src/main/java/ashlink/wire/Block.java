package ashlink.wire;

import java.util.List;

/** Block of columns with basic types; all columns have the same number of rows. */
public record Block(List<Column> columns, int rows) {

    /** Empty block that marks the end of a stream of blocks. */
    public static final Block END = new Block(List.of(), 0);

    /** Column of a block; the values are Long, Double or String, depending on the type. */
    public record Column(String name, String type, List<Object> values) {}

    /** Returns a block of the given columns. */
    public static Block of(Column... columns) {
        return new Block(List.of(columns), columns.length == 0 ? 0 : columns[0].values().size());
    }

    /** Returns the column with the given name, or null if there is none. */
    public Column column(String name) {
        for (Column column : columns) {
            if (column.name().equals(name)) {
                return column;
            }
        }
        return null;
    }

    /** Appends the block in the layout of all revisions up to {@link Revision#HIGHEST}. */
    public void write(Compression compression, ByteBuf to) throws WireException {
        ByteBuf uncompressed = compression == null ? to : new ByteBuf();
        uncompressed.putVarUInt(1).putByte(0).putVarUInt(2).putInt(-1).putVarUInt(0);
        uncompressed.putVarUInt(columns.size()).putVarUInt(rows);
        for (Column column : columns) {
            uncompressed.putString(column.name).putString(column.type);
            BasicValues.write(column.type, column.values, uncompressed);
        }
        if (compression != null) {
            compression.compress(uncompressed.array(), 0, uncompressed.size(), to);
        }
    }
}
