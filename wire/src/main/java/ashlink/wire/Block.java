package ashlink.wire;

import java.util.List;

/** Columns of plain values, all of the same length. */
public record Block(List<Column> columns, int rows) {

    /** The block that ends a stream of blocks. */
    public static final Block END = new Block(List.of(), 0);

    /** A column; its values are Long, Double or String by its type. */
    public record Column(String name, String type, List<Object> values) {}

    /** A block of these columns. */
    public static Block of(Column... columns) {
        return new Block(List.of(columns), columns.length == 0 ? 0 : columns[0].values().size());
    }

    /** The column of that name, or null. */
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
        ByteBuf plain = compression == null ? to : new ByteBuf();
        plain.putVarUInt(1).putByte(0).putVarUInt(2).putInt(-1).putVarUInt(0);
        plain.putVarUInt(columns.size()).putVarUInt(rows);
        for (Column column : columns) {
            plain.putString(column.name).putString(column.type);
            PlainValues.write(column.type, column.values, plain);
        }
        if (compression != null) {
            compression.compress(plain.array(), 0, plain.size(), to);
        }
    }
}
