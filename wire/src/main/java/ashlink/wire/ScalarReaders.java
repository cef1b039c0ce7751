package ashlink.wire;

import ashlink.wire.TypeParser.Term;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;

/**
 * Readers of scalar types: numbers, strings, dates and times, enumerations, UUIDs and IP addresses.
 */
final class ScalarReaders {

    private static final int IPV6_BYTES = 16;

    /** Readers of the types that have no arguments, by type name. */
    private static final Map<String, ScalarReader> WITHOUT_ARGUMENTS =
            Map.ofEntries(
                    Map.entry("Int8", in -> (long) (byte) in.readByte()),
                    Map.entry("Int16", in -> (long) (short) in.readUnsignedShort()),
                    Map.entry("Int32", in -> (long) in.readInt()),
                    Map.entry("Int64", in -> BigInteger.valueOf(in.readLong())),
                    Map.entry("Int128", in -> readInteger(in, 16, true)),
                    Map.entry("Int256", in -> readInteger(in, 32, true)),
                    Map.entry("UInt8", in -> (long) in.readByte()),
                    Map.entry("UInt16", in -> (long) in.readUnsignedShort()),
                    Map.entry("UInt32", in -> in.readInt() & 0xffffffffL),
                    Map.entry("UInt64", in -> readInteger(in, 8, false)),
                    Map.entry("UInt128", in -> readInteger(in, 16, false)),
                    Map.entry("UInt256", in -> readInteger(in, 32, false)),
                    Map.entry("Float32", in -> Float.intBitsToFloat(in.readInt())),
                    Map.entry("Float64", in -> Double.longBitsToDouble(in.readLong())),
                    Map.entry("Bool", in -> in.readByte() != 0),
                    Map.entry("String", in -> in.readBytes("string", ValueReaders.MAX_VALUES)),
                    Map.entry("Date", TimeReaders::readDate),
                    Map.entry("Date32", TimeReaders::readDate32),
                    Map.entry("UUID", in -> new UUID(in.readLong(), in.readLong()).toString()),
                    Map.entry("IPv4", ScalarReaders::readIpv4),
                    Map.entry("IPv6", ScalarReaders::readIpv6),
                    Map.entry("Nothing", ScalarReaders::readNothing));

    private ScalarReaders() {}

    /** Returns the reader of a scalar type; throws {@code UNKNOWN_TYPE} if there is none. */
    static ScalarReader of(Term term) throws WireException {
        if (term.name().startsWith("Interval")) {
            return in -> BigInteger.valueOf(in.readLong());
        }
        ScalarReader withoutArguments = WITHOUT_ARGUMENTS.get(term.name());
        return withoutArguments != null ? withoutArguments : withArguments(term);
    }

    private static ScalarReader withArguments(Term term) throws WireException {
        return switch (term.name()) {
            case "FixedString" -> fixedString(intArgument(term, 0));
            case "DateTime", "DateTime32" -> TimeReaders.seconds(term);
            case "DateTime64" -> TimeReaders.ticks(term);
            case "Enum8" -> enumeration(term, in -> (long) (byte) in.readByte());
            case "Enum16" -> enumeration(term, in -> (long) (short) in.readUnsignedShort());
            case "Decimal32", "Decimal64", "Decimal128", "Decimal256" -> {
                int bits = Integer.parseInt(term.name().substring("Decimal".length()));
                yield decimal(bits / Byte.SIZE, optionalIntArgument(term, 0));
            }
            case "Decimal" ->
                    decimal(
                            TypeParser.decimalBytes(intArgument(term, 0)),
                            optionalIntArgument(term, 1));
            default ->
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE,
                            "unsupported column type " + term.name());
        };
    }

    private static int intArgument(Term term, int index) {
        return Integer.parseInt(term.arguments().get(index).name());
    }

    /** Returns a numeric argument, or 0 if the argument is missing. */
    static int optionalIntArgument(Term term, int index) {
        return index < term.arguments().size() ? intArgument(term, index) : 0;
    }

    /** Reads an integer of {@code length} bytes in little-endian order. */
    private static BigInteger readInteger(ByteSource in, int length, boolean signed)
            throws IOException {
        byte[] bigEndian = new byte[length];
        for (int i = length - 1; i >= 0; i--) {
            bigEndian[i] = (byte) in.readByte();
        }
        return signed ? new BigInteger(bigEndian) : new BigInteger(1, bigEndian);
    }

    private static ScalarReader decimal(int length, int scale) {
        return in -> new BigDecimal(readInteger(in, length, true), scale);
    }

    private static ScalarReader fixedString(int length) {
        return in -> {
            byte[] bytes = new byte[length];
            in.readFully(bytes, 0, length);
            return bytes;
        };
    }

    private static Object readIpv4(ByteSource in) throws IOException {
        int address = in.readInt();
        return (address >>> 24)
                + "."
                + (address >>> 16 & 255)
                + "."
                + (address >>> 8 & 255)
                + "."
                + (address & 255);
    }

    private static Object readIpv6(ByteSource in) throws IOException {
        byte[] address = new byte[IPV6_BYTES];
        in.readFully(address, 0, IPV6_BYTES);
        return InetAddress.getByAddress(address).getHostAddress();
    }

    private static Object readNothing(ByteSource in) throws IOException {
        in.readByte();
        return null;
    }

    /**
     * Returns the reader of an enumeration; a number without a name is read as the decimal number.
     */
    private static ScalarReader enumeration(Term term, ScalarReader number) {
        Map<Long, String> names = new HashMap<>();
        List<Term> elements = term.arguments();
        long next = 1;
        for (Term element : elements) {
            next = element.value().isEmpty() ? next : Long.parseLong(element.value());
            names.put(next++, unescape(element.name()));
        }
        return in -> {
            long value = (long) number.read(in);
            return names.getOrDefault(value, Long.toString(value));
        };
    }

    private static String unescape(String quoted) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < quoted.length(); i++) {
            text.append(
                    quoted.charAt(i) == '\\' && i + 1 < quoted.length()
                            ? quoted.charAt(++i)
                            : quoted.charAt(i));
        }
        return text.toString();
    }
}
