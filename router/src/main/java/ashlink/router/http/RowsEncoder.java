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
        Table t =
                new Blocks(
                                new StreamSource(new ByteArrayInputStream(header), header.length),
                                limits)
                        .readValues(0);
        int width = t.names().size();
        for (int r = 0; r < rows.size(); r++) {
            if (!rows.get(r).isArray() || rows.get(r).size() != width) {
                throw wrong(
                        "row "
                                + r
                                + " is no array of "
                                + width
                                + " values: "
                                + String.join(", ", t.names()));
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
            out.putString(t.names().get(c)).putString(t.types().get(c));
            column(t.types().get(c), t.names().get(c), rows, c, out);
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
        Matcher m = TYPE.matcher(plain);
        if (!m.matches()) {
            throw wrong("column " + name + " of type " + type + " cannot be loaded over HTTP");
        }
        for (int r = 0; r < rows.size(); r++) {
            JsonNode v = rows.get(r).get(c);
            try {
                if (v.isNull() && !nullable) {
                    throw new IllegalArgumentException("null");
                }
                value(m.group(1), m.group(2) == null ? "" : m.group(2), v, out);
            } catch (IllegalArgumentException | DateTimeException | ArithmeticException e) {
                throw wrong(
                        "row "
                                + r
                                + ", column "
                                + name
                                + ": "
                                + type
                                + " does not take "
                                + shown(v));
            }
        }
    }

    private static String shown(JsonNode v) {
        String text = v.toString();
        return text.length() > 60 ? text.substring(0, 60) + "..." : text;
    }

    private static void value(String type, String arguments, JsonNode v, ByteBuf out)
            throws IOException {
        String[] a = arguments.split("\\s*,\\s*");
        switch (type) {
            case "UInt8", "UInt16", "UInt32", "UInt64", "UInt128", "UInt256" ->
                    whole(v, bits(type, 4), false, out);
            case "Int8", "Int16", "Int32", "Int64", "Int128", "Int256" ->
                    whole(v, bits(type, 3), true, out);
            case "Float32" -> out.putInt(Float.floatToIntBits((float) floating(v)));
            case "Float64" -> out.putLong(Double.doubleToLongBits(floating(v)));
            case "Bool" -> {
                if (!v.isBoolean() && !v.isNull()) {
                    throw new IllegalArgumentException();
                }
                out.putFlag(v.asBoolean());
            }
            case "String" -> out.putString(v.isNull() ? "" : text(v));
            case "FixedString" -> {
                byte[] bytes = (v.isNull() ? "" : text(v)).getBytes(StandardCharsets.UTF_8);
                int length = Integer.parseInt(a[0]);
                if (bytes.length > length) {
                    throw new IllegalArgumentException();
                }
                out.append(java.util.Arrays.copyOf(bytes, length), 0, length);
            }
            case "Date" ->
                    little(
                            BigInteger.valueOf(
                                    v.isNull() ? 0 : LocalDate.parse(text(v)).toEpochDay()),
                            16,
                            false,
                            out);
            case "Date32" ->
                    little(
                            BigInteger.valueOf(
                                    v.isNull() ? 0 : LocalDate.parse(text(v)).toEpochDay()),
                            32,
                            true,
                            out);
            case "DateTime" ->
                    little(
                            v.isNull()
                                    ? BigInteger.ZERO
                                    : v.isNumber()
                                            ? v.bigIntegerValue()
                                            : BigInteger.valueOf(
                                                    OffsetDateTime.parse(text(v)).toEpochSecond()),
                            32,
                            false,
                            out);
            case "DateTime64" ->
                    out.putLong(
                            v.isNull()
                                    ? 0
                                    : ticks(OffsetDateTime.parse(text(v)), Integer.parseInt(a[0])));
            case "Decimal" -> decimal(v, Integer.parseInt(a[0]), Integer.parseInt(a[1]), out);
            case "UUID" -> {
                UUID id = v.isNull() ? new UUID(0, 0) : UUID.fromString(text(v));
                out.putLong(id.getMostSignificantBits()).putLong(id.getLeastSignificantBits());
            }
            default -> throw wrong("values of type " + type + " cannot be loaded over HTTP");
        }
    }

    private static int bits(String type, int prefix) {
        return Integer.parseInt(type.substring(prefix));
    }

    private static String text(JsonNode v) {
        if (!v.isTextual()) {
            throw new IllegalArgumentException();
        }
        return v.textValue();
    }

    private static void whole(JsonNode v, int bits, boolean signed, ByteBuf out)
            throws WireException {
        BigInteger n =
                v.isNull()
                        ? BigInteger.ZERO
                        : v.isTextual()
                                ? new BigInteger(v.textValue())
                                : new BigDecimal(v.asText()).toBigIntegerExact();
        little(n, bits, signed, out);
    }

    private static void little(BigInteger n, int bits, boolean signed, ByteBuf out)
            throws WireException {
        if (signed ? n.bitLength() >= bits : n.signum() < 0 || n.bitLength() > bits) {
            throw new IllegalArgumentException();
        }
        for (int i = 0; i < bits / 8; i++) {
            out.putByte(n.shiftRight(8 * i).intValue() & 0xff);
        }
    }

    private static double floating(JsonNode v) {
        if (v.isNull()) {
            return 0;
        }
        return switch (v.asText()) {
            case "nan" -> Double.NaN;
            case "inf" -> Double.POSITIVE_INFINITY;
            case "-inf" -> Double.NEGATIVE_INFINITY;
            default -> Double.parseDouble(v.asText());
        };
    }

    private static long ticks(OffsetDateTime t, int digits) {
        return BigDecimal.valueOf(t.toEpochSecond())
                .add(BigDecimal.valueOf(t.getNano(), 9))
                .scaleByPowerOfTen(digits)
                .setScale(0, RoundingMode.UNNECESSARY)
                .longValueExact();
    }

    private static void decimal(JsonNode v, int digits, int scale, ByteBuf out)
            throws WireException {
        BigDecimal d =
                v.isNull()
                        ? BigDecimal.ZERO
                        : new BigDecimal(v.asText()).setScale(scale, RoundingMode.UNNECESSARY);
        if (d.precision() > digits) {
            throw new IllegalArgumentException();
        }
        little(d.unscaledValue(), 8 * TypeParser.decimalBytes(digits), true, out);
    }
}
