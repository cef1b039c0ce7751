package ashlink.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads and writes values of the basic types that this program itself uses: numbers of up to 64
 * bits, strings, dates and times.
 */
final class BasicValues {

    private BasicValues() {}

    static List<Object> read(String type, int rows, ByteSource from, WireLimits limits)
            throws IOException {
        List<Object> values = new ArrayList<>(Math.min(rows, 1024));
        for (int i = 0; i < rows; i++) {
            values.add(readOne(type, from, limits));
        }
        return values;
    }

    private static Object readOne(String type, ByteSource from, WireLimits limits)
            throws IOException {
        return switch (nameWithoutArguments(type)) {
            case "String" -> from.readString("string", limits.textBytes());
            case "UInt8", "Bool" -> (long) from.readByte();
            case "Int8", "Enum8" -> (long) (byte) from.readByte();
            case "UInt16", "Date" -> (long) from.readUnsignedShort();
            case "Int16" -> (long) (short) from.readUnsignedShort();
            case "UInt32", "DateTime" -> from.readInt() & 0xffffffffL;
            case "Int32" -> (long) from.readInt();
            case "UInt64", "Int64" -> from.readLong();
            case "Float32" -> (double) Float.intBitsToFloat(from.readInt());
            case "Float64" -> Double.longBitsToDouble(from.readLong());
            default ->
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE, "unsupported column type " + type);
        };
    }

    static void write(String type, List<Object> values, ByteBuf to) throws WireException {
        for (Object value : values) {
            switch (nameWithoutArguments(type)) {
                case "String" -> to.putString((String) value);
                case "UInt8", "Int8", "Bool", "Enum8" -> to.putByte((int) integer(value));
                case "UInt16", "Int16", "Date" -> to.putShort((int) integer(value));
                case "UInt32", "Int32", "DateTime" -> to.putInt((int) integer(value));
                case "UInt64", "Int64" -> to.putLong(integer(value));
                case "Float32" -> to.putInt(Float.floatToIntBits(((Number) value).floatValue()));
                case "Float64" ->
                        to.putLong(Double.doubleToLongBits(((Number) value).doubleValue()));
                default ->
                        throw new WireException(
                                WireException.Reason.UNKNOWN_TYPE,
                                "unsupported column type " + type);
            }
        }
    }

    private static long integer(Object value) {
        return ((Number) value).longValue();
    }

    private static String nameWithoutArguments(String type) {
        int argumentsStart = type.indexOf('(');
        return argumentsStart < 0 ? type : type.substring(0, argumentsStart);
    }
}
