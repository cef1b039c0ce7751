package ashlink.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the blocks that one peer sends: skips a block, or decodes the values. Each connection has
 * its own reader, which caches the most recently used column types. Not thread-safe.
 */
public final class BlockReader {

    private static final int MAX_CACHED_TYPES = 256;
    private static final int INFO_OVERFLOWS = 1;
    private static final int INFO_BUCKET = 2;

    /** Number of rows and columns of a skipped block. */
    public record Size(long rows, long columns) {

        /** Returns true for the empty block that marks the end of a stream of blocks. */
        public boolean isEnd() {
            return rows == 0 && columns == 0;
        }
    }

    private final StreamSource in;
    private final FrameSource frames;
    private final WireLimits limits;
    private final Map<String, ColumnType> cachedTypes =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, ColumnType> eldest) {
                    return size() > MAX_CACHED_TYPES;
                }
            };

    /** Creates a reader of the given stream. */
    public BlockReader(StreamSource in, WireLimits limits) {
        this.in = in;
        this.limits = limits;
        this.frames = new FrameSource(in, limits.frameBytes());
    }

    /** Skips the next block. */
    public Size skip(boolean compressed) throws IOException {
        ByteSource source = compressed ? frames : in;
        readInfo(source);
        long columns = source.readCount("number of columns", limits.columns());
        long rows = source.readCount("number of rows", Long.MAX_VALUE);
        for (long i = 0; i < columns; i++) {
            source.skip(source.readCount("length of column name", limits.nameBytes()));
            ColumnType type = type(source.readString("column type", limits.nameBytes()));
            if (rows > 0) {
                type.skipPrefix(source);
                type.skipValues(source, rows);
            }
        }
        if (compressed) {
            frames.requireEndOfBlock();
        }
        return new Size(rows, columns);
    }

    /** Reads the next block; all columns must have basic types. */
    public Block read(boolean compressed, int maxRows) throws IOException {
        ByteSource source = compressed ? frames : in;
        readInfo(source);
        int columns = (int) source.readCount("number of columns", limits.columns());
        int rows = (int) source.readCount("number of rows", maxRows);
        List<Block.Column> decoded = new ArrayList<>();
        for (int i = 0; i < columns; i++) {
            String name = source.readString("column name", limits.nameBytes());
            String type = source.readString("column type", limits.nameBytes());
            decoded.add(new Block.Column(name, type, BasicValues.read(type, rows, source, limits)));
        }
        if (compressed) {
            frames.requireEndOfBlock();
        }
        return new Block(decoded, rows);
    }

    /** Columns of a block of any types, with the exact values. */
    public record Table(List<String> names, List<String> types, List<Object[]> columns, int rows) {}

    /**
     * Reads the next block, uncompressed, with values of any supported type. The stream must be in
     * memory, so that the size of the stream bounds the size of the block.
     */
    public Table readValues(int maxRows) throws IOException {
        readInfo(in);
        int columns = (int) in.readCount("number of columns", limits.columns());
        int rows = (int) in.readCount("number of rows", maxRows);
        List<String> names = new ArrayList<>();
        List<String> types = new ArrayList<>();
        List<Object[]> values = new ArrayList<>();
        for (int i = 0; i < columns; i++) {
            names.add(in.readString("column name", limits.nameBytes()));
            types.add(in.readString("column type", limits.nameBytes()));
            ValueReader reader = ValueReader.of(types.get(i));
            if (rows > 0) {
                reader.readPrefix(in);
            }
            values.add(rows > 0 ? reader.read(in, rows) : new Object[0]);
        }
        return new Table(names, types, values, rows);
    }

    private ColumnType type(String text) throws WireException {
        ColumnType cached = cachedTypes.get(text);
        if (cached == null) {
            cached = TypeParser.parse(text);
            cachedTypes.put(text, cached);
        }
        return cached;
    }

    private static void readInfo(ByteSource source) throws IOException {
        for (long field = source.readVarUInt(); field != 0; field = source.readVarUInt()) {
            if (field == INFO_OVERFLOWS) {
                source.readByte();
            } else if (field == INFO_BUCKET) {
                source.readInt();
            } else {
                throw new WireException(
                        WireException.Reason.MALFORMED,
                        "unknown field "
                                + field
                                + " of block info: supported are "
                                + INFO_OVERFLOWS
                                + " and "
                                + INFO_BUCKET);
            }
        }
    }
}
