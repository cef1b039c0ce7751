package ashlink.router.http;

import ashlink.wire.BlockReader;
import ashlink.wire.BlockReader.Table;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.time.DateTimeException;
import java.util.Arrays;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Encodes the rows of an insert, given as JSON arrays, as a block in the native format. */
final class RowsEncoder {

    /** A type name with optional arguments in parentheses. */
    private static final Pattern TYPE_PATTERN = Pattern.compile("(\\w+)(?:\\((.*)\\))?");

    private static final String NULLABLE_PREFIX = "Nullable(";
    private static final int MAX_SHOWN_CHARS = 60;

    private RowsEncoder() {}

    /**
     * Returns a Data packet that contains the rows.
     *
     * @param header block without rows that names the columns of the table
     * @throws WireException if a row or a value is invalid; names the row and the column
     */
    static byte[] encode(byte[] header, JsonNode rows, WireLimits limits) throws IOException {
        StreamSource in = new StreamSource(new ByteArrayInputStream(header), header.length);
        Table columns = new BlockReader(in, limits).readValues(0);
        checkRowWidths(rows, columns);
        int width = columns.names().size();
        ByteBuf out = new ByteBuf(limits.packetBytes());
        out.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        writeBlockInfo(out);
        out.putVarUInt(width).putVarUInt(rows.size());
        for (int column = 0; column < width; column++) {
            String name = columns.names().get(column);
            String type = columns.types().get(column);
            out.putString(name).putString(type);
            encodeColumn(type, name, rows, column, out);
        }
        return Arrays.copyOf(out.array(), out.size());
    }

    /** Writes the block info: field 1 (no overflow block), field 2 (no bucket), end of fields. */
    private static void writeBlockInfo(ByteBuf out) throws WireException {
        out.putVarUInt(1).putByte(0).putVarUInt(2).putInt(-1).putVarUInt(0);
    }

    private static void checkRowWidths(JsonNode rows, Table columns) throws WireException {
        int width = columns.names().size();
        for (int row = 0; row < rows.size(); row++) {
            if (!rows.get(row).isArray() || rows.get(row).size() != width) {
                throw malformed(
                        "row "
                                + row
                                + " is not an array of "
                                + width
                                + " values for the columns "
                                + String.join(", ", columns.names()));
            }
        }
    }

    private static WireException malformed(String message) {
        return new WireException(WireException.Reason.MALFORMED, message);
    }

    private static void encodeColumn(
            String type, String name, JsonNode rows, int column, ByteBuf out) throws IOException {
        String plainType = type;
        boolean nullable = type.startsWith(NULLABLE_PREFIX);
        if (nullable) {
            plainType = type.substring(NULLABLE_PREFIX.length(), type.length() - 1);
            for (JsonNode row : rows) {
                out.putFlag(row.get(column).isNull());
            }
        }
        Matcher matcher = TYPE_PATTERN.matcher(plainType);
        if (!matcher.matches()) {
            throw malformed("column " + name + " of type " + type + " cannot be loaded over HTTP");
        }
        String arguments = matcher.group(2) == null ? "" : matcher.group(2);
        ValueEncoder encoder = new ValueEncoder(matcher.group(1), arguments, out);
        for (int row = 0; row < rows.size(); row++) {
            JsonNode value = rows.get(row).get(column);
            try {
                if (value.isNull() && !nullable) {
                    throw new IllegalArgumentException("null in a non-nullable column");
                }
                encoder.encode(value);
            } catch (IllegalArgumentException | DateTimeException | ArithmeticException e) {
                throw malformed(
                        "row "
                                + row
                                + ", column "
                                + name
                                + ": invalid value "
                                + excerpt(value)
                                + " for type "
                                + type);
            }
        }
    }

    private static String excerpt(JsonNode value) {
        String text = value.toString();
        return text.length() > MAX_SHOWN_CHARS ? text.substring(0, MAX_SHOWN_CHARS) + "..." : text;
    }
}
