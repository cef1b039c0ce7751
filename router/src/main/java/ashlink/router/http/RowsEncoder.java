package ashlink.router.http;

import ashlink.wire.Blocks;
import ashlink.wire.Blocks.Table;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.TypeParser;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.util.UUID;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Turns the rows of a load, given as JSON arrays, into a block of the columns that the engine
 * wants.
 */
final class RowsEncoder {

    private static final Pattern TYPE = Pattern.compile("(\\w+)(?:\\((.*)\\))?");

    private RowsEncoder() {}

    /**
     * A Data packet with those rows; {@code MALFORMED} names the row and column that do not fit.
     */
    static byte[] encode(byte[] header, JsonNode rows, WireLimits limits) throws IOException {
        Table table =
                new Blocks(
                                new StreamSource(new ByteArrayInputStream(header), header.length),
                                limits)
                        .readValues(0);
        int width = table.names().size();
        for (int r = 0; r < rows.size(); r++) {
            if (!rows.get(r).isArray() || rows.get(r).size() != width) {
                throw wrong(
                        "row "
                                + r
                                + " is no array of "
                                + width
                                + " values: "
                                + String.join(", ", table.names()));
            }
        }
        ByteBuf out = new ByteBuf(limits.packetBytes());
        out.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        out.putVarUInt(1)
                .putByte(0)
                .putVarUInt(2)
                .putInt(-1)
                .putVarUInt(0)
                .putVarUInt(width)
                .putVarUInt(rows.size());
        for (int c = 0; c < width; c++) {
            out.putString(table.names().get(c)).putString(table.types().get(c));
            column(table.types().get(c), table.names().get(c), rows, c, out);
        }
        return java.util.Arrays.copyOf(out.array(), out.size());
    }

    private static WireException wrong(String what) {
        return new WireException(WireException.Reason.MALFORMED, what);
    }

    private static void column(String type, String name, JsonNode rows, int c, ByteBuf out)
            throws IOException {
        String plain = type;
        boolean nullable = type.startsWith("Nullable(");
        if (nullable) {
            plain = type.substring("Nullable(".length(), type.length() - 1);
            for (JsonNode row : rows) {
                out.putFlag(row.get(c).isNull());
            }
        }
        Matcher matcher = TYPE.matcher(plain);
        if (!matcher.matches()) {
            throw wrong("column " + name + " of type " + type + " cannot be loaded over HTTP");
        }
        for (int r = 0; r < rows.size(); r++) {
            JsonNode node = rows.get(r).get(c);
            try {
                if (node.isNull() && !nullable) {
                    throw new IllegalArgumentException("null");
                }
                value(
                        matcher.group(1),
                        matcher.group(2) == null ? "" : matcher.group(2),
                        node,
                        out);
            } catch (IllegalArgumentException | DateTimeException | ArithmeticException e) {
                throw wrong(
                        "row "
                                + r
                                + ", column "
                                + name
                                + ": "
                                + type
                                + " does not take "
                                + shown(node));
            }
        }
    }

    private static String shown(JsonNode node) {
        String text = node.toString();
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private static void value(String type, String arguments, JsonNode node, ByteBuf out)
            throws IOException {
        String[] a = arguments.split("\\s*,\\s*");
        switch (type) {
            case "UInt8", "UInt16", "UInt32", "UInt64", "UInt128", "UInt256" ->
                    whole(node, bits(type, 4), false, out);
            case "Int8", "Int16", "Int32", "Int64", "Int128", "Int256" ->
                    whole(node, bits(type, 3), true, out);
            case "Float32" -> out.putInt(Float.floatToIntBits((float) floating(node)));
            case "Float64" -> out.putLong(Double.doubleToLongBits(floating(node)));
            case "Bool" -> {
                if (!node.isBoolean() && !node.isNull()) {
                    throw new IllegalArgumentException();
                }
                out.putFlag(node.asBoolean());
            }
            case "String" -> out.putString(node.isNull() ? "" : text(node));
            case "FixedString" -> {
                byte[] bytes = (node.isNull() ? "" : text(node)).getBytes(StandardCharsets.UTF_8);
                int length = Integer.parseInt(a[0]);
                if (bytes.length > length) {
                    throw new IllegalArgumentException();
                }
                out.append(java.util.Arrays.copyOf(bytes, length), 0, length);
            }
            case "Date" ->
                    little(
                            BigInteger.valueOf(
                                    node.isNull() ? 0 : LocalDate.parse(text(node)).toEpochDay()),
                            16,
                            false,
                            out);
            case "Date32" ->
                    little(
                            BigInteger.valueOf(
                                    node.isNull() ? 0 : LocalDate.parse(text(node)).toEpochDay()),
                            32,
                            true,
                            out);
            case "DateTime" ->
                    little(
                            node.isNull()
                                    ? BigInteger.ZERO
                                    : node.isNumber()
                                            ? node.bigIntegerValue()
                                            : BigInteger.valueOf(
                                                    OffsetDateTime.parse(text(node))
                                                            .toEpochSecond()),
                            32,
                            false,
                            out);
            case "DateTime64" ->
                    out.putLong(
                            node.isNull()
                                    ? 0
                                    : ticks(
                                            OffsetDateTime.parse(text(node)),
                                            Integer.parseInt(a[0])));
            case "Decimal" -> decimal(node, Integer.parseInt(a[0]), Integer.parseInt(a[1]), out);
            case "UUID" -> {
                UUID id = node.isNull() ? new UUID(0, 0) : UUID.fromString(text(node));
                out.putLong(id.getMostSignificantBits()).putLong(id.getLeastSignificantBits());
            }
            default -> throw wrong("values of type " + type + " cannot be loaded over HTTP");
        }
    }

    private static int bits(String type, int prefix) {
        return Integer.parseInt(type.substring(prefix));
    }

    private static String text(JsonNode node) {
        if (!node.isTextual()) {
            throw new IllegalArgumentException();
        }
        return node.textValue();
    }

    private static void whole(JsonNode node, int bits, boolean signed, ByteBuf out)
            throws WireException {
        BigInteger bigInteger =
                node.isNull()
                        ? BigInteger.ZERO
                        : node.isTextual()
                                ? new BigInteger(node.textValue())
                                : new BigDecimal(node.asText()).toBigIntegerExact();
        little(bigInteger, bits, signed, out);
    }

    private static void little(BigInteger bigInteger, int bits, boolean signed, ByteBuf out)
            throws WireException {
        if (signed
                ? bigInteger.bitLength() >= bits
                : bigInteger.signum() < 0 || bigInteger.bitLength() > bits) {
            throw new IllegalArgumentException();
        }
        for (int i = 0; i < bits / 8; i++) {
            out.putByte(bigInteger.shiftRight(8 * i).intValue() & 0xff);
        }
    }

    private static double floating(JsonNode node) {
        if (node.isNull()) {
            return 0;
        }
        return switch (node.asText()) {
            case "nan" -> Double.NaN;
            case "inf" -> Double.POSITIVE_INFINITY;
            case "-inf" -> Double.NEGATIVE_INFINITY;
            default -> Double.parseDouble(node.asText());
        };
    }

    private static long ticks(OffsetDateTime time, int digits) {
        return BigDecimal.valueOf(time.toEpochSecond())
                .add(BigDecimal.valueOf(time.getNano(), 9))
                .scaleByPowerOfTen(digits)
                .setScale(0, RoundingMode.UNNECESSARY)
                .longValueExact();
    }

    private static void decimal(JsonNode node, int digits, int scale, ByteBuf out)
            throws WireException {
        BigDecimal bigDecimal =
                node.isNull()
                        ? BigDecimal.ZERO
                        : new BigDecimal(node.asText()).setScale(scale, RoundingMode.UNNECESSARY);
        if (bigDecimal.precision() > digits) {
            throw new IllegalArgumentException();
        }
        little(bigDecimal.unscaledValue(), 8 * TypeParser.decimalBytes(digits), true, out);
    }
}
