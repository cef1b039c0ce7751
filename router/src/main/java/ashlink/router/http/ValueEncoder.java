package ashlink.router.http;

import ashlink.wire.ByteBuf;
import ashlink.wire.TypeParser;
import ashlink.wire.WireException;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.math.RoundingMode;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.LocalDate;
import java.time.OffsetDateTime;
import java.util.Arrays;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * Encodes JSON values of one column type in the native format. A JSON null is encoded as the
 * default value of the type; the caller writes the null flags.
 *
 * <p>{@link #encode} throws {@link IllegalArgumentException}, {@link DateTimeException} or {@link
 * ArithmeticException} for a value that is invalid for the type.
 */
final class ValueEncoder {

    private static final Pattern ARGUMENT_SEPARATOR = Pattern.compile("\\s*,\\s*");
    private static final int DATE_BITS = 16;
    private static final int DATE32_BITS = 32;
    private static final int DATE_TIME_BITS = 32;
    private static final int NANOS_SCALE = 9;
    private static final int BYTE_MASK = 0xff;

    private final String type;
    private final String[] arguments;
    private final ByteBuf out;

    /**
     * Creates an encoder that appends to a buffer.
     *
     * @param type name of the type without its arguments
     * @param arguments arguments of the type, separated by commas; may be empty
     */
    ValueEncoder(String type, String arguments, ByteBuf out) {
        this.type = type;
        this.arguments = ARGUMENT_SEPARATOR.split(arguments);
        this.out = out;
    }

    /**
     * Appends a value to the buffer.
     *
     * @throws WireException if the type is not supported
     */
    void encode(JsonNode value) throws IOException {
        switch (type) {
            case "UInt8", "UInt16", "UInt32", "UInt64", "UInt128", "UInt256" ->
                    encodeInteger(toInteger(value), bitWidth("UInt"), false);
            case "Int8", "Int16", "Int32", "Int64", "Int128", "Int256" ->
                    encodeInteger(toInteger(value), bitWidth("Int"), true);
            case "Float32" -> out.putInt(Float.floatToIntBits((float) toDouble(value)));
            case "Float64" -> out.putLong(Double.doubleToLongBits(toDouble(value)));
            case "Bool" -> encodeBool(value);
            case "String" -> out.putString(textOrEmpty(value));
            case "FixedString" -> encodeFixedString(textOrEmpty(value));
            case "Date" -> encodeInteger(toEpochDay(value), DATE_BITS, false);
            case "Date32" -> encodeInteger(toEpochDay(value), DATE32_BITS, true);
            case "DateTime" -> encodeInteger(toEpochSecond(value), DATE_TIME_BITS, false);
            case "DateTime64" -> out.putLong(value.isNull() ? 0 : toTicks(value, argument(0)));
            case "Decimal" -> encodeDecimal(value, argument(0), argument(1));
            case "UUID" -> encodeUuid(value);
            default ->
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "values of type " + type + " cannot be loaded over HTTP");
        }
    }

    private int bitWidth(String prefix) {
        return Integer.parseInt(type.substring(prefix.length()));
    }

    private int argument(int index) {
        return Integer.parseInt(arguments[index]);
    }

    private void encodeBool(JsonNode value) throws WireException {
        if (!value.isBoolean() && !value.isNull()) {
            throw new IllegalArgumentException("not a boolean");
        }
        out.putFlag(value.asBoolean());
    }

    private void encodeFixedString(String text) throws WireException {
        byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
        int length = argument(0);
        if (utf8.length > length) {
            throw new IllegalArgumentException(
                    "invalid length " + utf8.length + " bytes: at most " + length);
        }
        out.append(Arrays.copyOf(utf8, length), 0, length);
    }

    private void encodeDecimal(JsonNode value, int digits, int scale) throws WireException {
        BigDecimal decimal =
                value.isNull()
                        ? BigDecimal.ZERO
                        : new BigDecimal(value.asText()).setScale(scale, RoundingMode.UNNECESSARY);
        if (decimal.precision() > digits) {
            throw new IllegalArgumentException(
                    "invalid precision " + decimal.precision() + ": at most " + digits);
        }
        int bits = Byte.SIZE * TypeParser.decimalBytes(digits);
        encodeInteger(decimal.unscaledValue(), bits, true);
    }

    private void encodeUuid(JsonNode value) throws WireException {
        UUID uuid = value.isNull() ? new UUID(0, 0) : UUID.fromString(requireText(value));
        out.putLong(uuid.getMostSignificantBits()).putLong(uuid.getLeastSignificantBits());
    }

    /** Appends an integer in little-endian order. */
    private void encodeInteger(BigInteger value, int bits, boolean signed) throws WireException {
        boolean overflow =
                signed ? value.bitLength() >= bits : value.signum() < 0 || value.bitLength() > bits;
        if (overflow) {
            throw new IllegalArgumentException("integer out of the range of " + bits + " bits");
        }
        for (int shift = 0; shift < bits; shift += Byte.SIZE) {
            out.putByte(value.shiftRight(shift).intValue() & BYTE_MASK);
        }
    }

    private static BigInteger toInteger(JsonNode value) {
        if (value.isNull()) {
            return BigInteger.ZERO;
        }
        return value.isTextual()
                ? new BigInteger(value.textValue())
                : new BigDecimal(value.asText()).toBigIntegerExact();
    }

    private static double toDouble(JsonNode value) {
        if (value.isNull()) {
            return 0;
        }
        return switch (value.asText()) {
            case "nan" -> Double.NaN;
            case "inf" -> Double.POSITIVE_INFINITY;
            case "-inf" -> Double.NEGATIVE_INFINITY;
            default -> Double.parseDouble(value.asText());
        };
    }

    private static BigInteger toEpochDay(JsonNode value) {
        long day = value.isNull() ? 0 : LocalDate.parse(requireText(value)).toEpochDay();
        return BigInteger.valueOf(day);
    }

    private static BigInteger toEpochSecond(JsonNode value) {
        if (value.isNull()) {
            return BigInteger.ZERO;
        }
        return value.isNumber()
                ? value.bigIntegerValue()
                : BigInteger.valueOf(OffsetDateTime.parse(requireText(value)).toEpochSecond());
    }

    /** Returns a time in units of 10^-digits seconds since the Unix epoch. */
    private static long toTicks(JsonNode value, int digits) {
        OffsetDateTime time = OffsetDateTime.parse(requireText(value));
        return BigDecimal.valueOf(time.toEpochSecond())
                .add(BigDecimal.valueOf(time.getNano(), NANOS_SCALE))
                .scaleByPowerOfTen(digits)
                .setScale(0, RoundingMode.UNNECESSARY)
                .longValueExact();
    }

    private static String textOrEmpty(JsonNode value) {
        return value.isNull() ? "" : requireText(value);
    }

    private static String requireText(JsonNode value) {
        if (!value.isTextual()) {
            throw new IllegalArgumentException("not a string");
        }
        return value.textValue();
    }
}
