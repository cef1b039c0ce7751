package ashlink.wire;

import ashlink.wire.TypeParser.Term;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.net.InetAddress;
import java.time.DateTimeException;
import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.DateTimeFormatterBuilder;
import java.time.temporal.ChronoField;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;

/** The readers of {@link ValueReader}, by type. */
final class ValueReaders {

    private static final int MOST_TEXT = Integer.MAX_VALUE - 16;

    /** Reads one value. */
    private interface One {
        Object read(ByteSource in) throws IOException;
    }

    private ValueReaders() {}

    static ValueReader of(Term term) throws WireException {
        List<Term> list = term.arguments();
        switch (term.name()) {
            case "Nullable" -> {
                return new NullableReader(of(list.get(0)));
            }
            case "Array" -> {
                return new ArrayReader(of(list.get(0)));
            }
            case "Map" -> {
                return new ArrayReader(new TupleReader(List.of(of(list.get(0)), of(list.get(1)))));
            }
            case "Tuple" -> {
                return tuple(list);
            }
            case "Nested" -> {
                return new ArrayReader(tuple(list));
            }
            case "Point" -> {
                return point();
            }
            case "Ring" -> {
                return new ArrayReader(point());
            }
            case "Polygon" -> {
                return new ArrayReader(new ArrayReader(point()));
            }
            case "MultiPolygon" -> {
                return new ArrayReader(new ArrayReader(new ArrayReader(point())));
            }
            case "LowCardinality" -> {
                boolean nullable = list.get(0).name().equals("Nullable");
                return new DictionaryReader(
                        of(nullable ? list.get(0).arguments().get(0) : list.get(0)), nullable);
            }
            case "SimpleAggregateFunction" -> {
                return of(list.get(1));
            }
            default -> {
                One one = one(term);
                return (in, rows) -> {
                    Object[] values = new Object[rows];
                    for (int i = 0; i < rows; i++) {
                        values[i] = one.read(in);
                    }
                    return values;
                };
            }
        }
    }

    private static ValueReader tuple(List<Term> elements) throws WireException {
        List<ValueReader> readers = new ArrayList<>();
        for (Term term : elements) {
            readers.add(of(term));
        }
        return new TupleReader(readers);
    }

    private static ValueReader point() throws WireException {
        Term number = TypeParser.term("Float64");
        return new TupleReader(List.of(of(number), of(number)));
    }

    private static One one(Term term) throws WireException {
        if (term.name().startsWith("Interval")) {
            return in -> BigInteger.valueOf(in.readLong());
        }
        return switch (term.name()) {
            case "Int8" -> in -> (long) (byte) in.readByte();
            case "Int16" -> in -> (long) (short) readShort(in);
            case "Int32" -> in -> (long) in.readInt();
            case "UInt8" -> in -> (long) in.readByte();
            case "UInt16" -> in -> (long) readShort(in);
            case "UInt32" -> in -> in.readInt() & 0xffffffffL;
            case "Int64" -> in -> BigInteger.valueOf(in.readLong());
            case "UInt64" -> in -> whole(in, 8, false);
            case "Int128" -> in -> whole(in, 16, true);
            case "UInt128" -> in -> whole(in, 16, false);
            case "Int256" -> in -> whole(in, 32, true);
            case "UInt256" -> in -> whole(in, 32, false);
            case "Float32" -> in -> Float.intBitsToFloat(in.readInt());
            case "Float64" -> in -> Double.longBitsToDouble(in.readLong());
            case "Bool" -> in -> in.readByte() != 0;
            case "String" -> in -> in.readBytes("a text", MOST_TEXT);
            case "FixedString" -> fixedText(Integer.parseInt(term.arguments().get(0).name()));
            case "Date" -> in -> LocalDate.ofEpochDay(readShort(in)).toString();
            case "Date32" -> in -> LocalDate.ofEpochDay(in.readInt()).toString();
            case "DateTime", "DateTime32" ->
                    time(term.arguments().isEmpty() ? "" : term.arguments().get(0).name());
            case "DateTime64" -> fineTime(term);
            case "Enum8" -> names(term, in -> (long) (byte) in.readByte());
            case "Enum16" -> names(term, in -> (long) (short) readShort(in));
            case "Decimal32", "Decimal64", "Decimal128", "Decimal256" ->
                    decimal(
                            Integer.parseInt(term.name().substring("Decimal".length())) / 8,
                            scale(term, 0));
            case "Decimal" ->
                    decimal(
                            TypeParser.decimalBytes(
                                    Integer.parseInt(term.arguments().get(0).name())),
                            scale(term, 1));
            case "UUID" -> in -> new UUID(in.readLong(), in.readLong()).toString();
            case "IPv4" ->
                    in -> {
                        int v = in.readInt();
                        return (v >>> 24)
                                + "."
                                + (v >>> 16 & 255)
                                + "."
                                + (v >>> 8 & 255)
                                + "."
                                + (v & 255);
                    };
            case "IPv6" ->
                    in -> {
                        byte[] b = new byte[16];
                        in.readFully(b, 0, 16);
                        return InetAddress.getByAddress(b).getHostAddress();
                    };
            case "Nothing" ->
                    in -> {
                        in.readByte();
                        return null;
                    };
            default ->
                    throw new WireException(
                            WireException.Reason.UNKNOWN_TYPE,
                            "values of type " + term.name() + " are not read");
        };
    }

    private static int readShort(ByteSource in) throws IOException {
        return in.readByte() | in.readByte() << 8;
    }

    private static BigInteger whole(ByteSource in, int bytes, boolean signed) throws IOException {
        byte[] b = new byte[bytes];
        for (int i = bytes - 1; i >= 0; i--) {
            b[i] = (byte) in.readByte();
        }
        return signed ? new BigInteger(b) : new BigInteger(1, b);
    }

    private static One fixedText(int length) {
        return in -> {
            byte[] b = new byte[length];
            in.readFully(b, 0, length);
            return b;
        };
    }

    private static int scale(Term term, int index) {
        return index < term.arguments().size()
                ? Integer.parseInt(term.arguments().get(index).name())
                : 0;
    }

    private static One decimal(int bytes, int scale) {
        return in -> new BigDecimal(whole(in, bytes, true), scale);
    }

    private static ZoneId zone(String name) {
        try {
            return name.isEmpty() ? ZoneOffset.UTC : ZoneId.of(name);
        } catch (DateTimeException e) {
            return ZoneOffset
                    .UTC; // a zone that is not known here: the moment is right all the same, by its
            // offset
        }
    }

    private static One time(String zone) {
        ZoneId id = zone(zone);
        return in ->
                DateTimeFormatter.ISO_OFFSET_DATE_TIME.format(
                        Instant.ofEpochSecond(in.readInt() & 0xffffffffL)
                                .atZone(id)
                                .toOffsetDateTime());
    }

    private static One fineTime(Term term) {
        int digits = scale(term, 0);
        ZoneId id = zone(term.arguments().size() > 1 ? term.arguments().get(1).name() : "");
        DateTimeFormatter format =
                new DateTimeFormatterBuilder()
                        .appendPattern("uuuu-MM-dd'T'HH:mm:ss")
                        .appendFraction(
                                ChronoField.NANO_OF_SECOND,
                                Math.min(9, digits),
                                Math.min(9, digits),
                                true)
                        .appendOffsetId()
                        .toFormatter(Locale.ROOT);
        long unit = (long) Math.pow(10, Math.min(9, digits));
        return in -> {
            long ticks = in.readLong();
            long nanos = Math.floorMod(ticks, unit) * (1_000_000_000L / unit);
            return format.format(
                    Instant.ofEpochSecond(Math.floorDiv(ticks, unit), nanos)
                            .atZone(id)
                            .toOffsetDateTime());
        };
    }

    /** A number without a name is told as the number. */
    private static One names(Term t, One number) {
        Map<Long, String> names = new HashMap<>();
        long next = 1;
        for (Term e : t.arguments()) {
            next = e.value().isEmpty() ? next : Long.parseLong(e.value());
            names.put(next++, unescaped(e.name()));
        }
        return in -> {
            long n = (long) number.read(in);
            return names.getOrDefault(n, Long.toString(n));
        };
    }

    private static String unescaped(String quoted) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < quoted.length(); i++) {
            text.append(
                    quoted.charAt(i) == '\\' && i + 1 < quoted.length()
                            ? quoted.charAt(++i)
                            : quoted.charAt(i));
        }
        return text.toString();
    }

    private record NullableReader(ValueReader inner) implements ValueReader {
        @Override
        public void readPrefix(ByteSource in) throws IOException {
            inner.readPrefix(in);
        }

        @Override
        public Object[] read(ByteSource in, int rows) throws IOException {
            byte[] nulls = new byte[rows];
            in.readFully(nulls, 0, rows);
            Object[] values = inner.read(in, rows);
            for (int i = 0; i < rows; i++) {
                values[i] = nulls[i] != 0 ? null : values[i];
            }
            return values;
        }
    }

    private record ArrayReader(ValueReader inner) implements ValueReader {
        @Override
        public void readPrefix(ByteSource in) throws IOException {
            inner.readPrefix(in);
        }

        @Override
        public Object[] read(ByteSource in, int rows) throws IOException {
            long[] ends = new long[rows];
            long before = 0;
            for (int i = 0; i < rows; i++) {
                ends[i] = in.readLong();
                if (ends[i] < before || ends[i] > MOST_TEXT) {
                    throw new WireException(
                            WireException.Reason.MALFORMED,
                            "arrays end at " + before + ", then at " + ends[i]);
                }
                before = ends[i];
            }
            Object[] all = inner.read(in, (int) before);
            Object[] values = new Object[rows];
            int from = 0;
            for (int i = 0; i < rows; i++) {
                values[i] = Arrays.asList(Arrays.copyOfRange(all, from, (int) ends[i]));
                from = (int) ends[i];
            }
            return values;
        }
    }

    private record TupleReader(List<ValueReader> elements) implements ValueReader {
        @Override
        public void readPrefix(ByteSource in) throws IOException {
            for (ValueReader valueReader : elements) {
                valueReader.readPrefix(in);
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

    /** The first of a nullable dictionary stands for null. */
    private record DictionaryReader(ValueReader inner, boolean nullable) implements ValueReader {
        @Override
        public void readPrefix(ByteSource in) throws IOException {
            in.readLong(); // the version, which TypeParser's types check when they pass over
            // a column
        }

        @Override
        public Object[] read(ByteSource in, int rows) throws IOException {
            Object[] values = new Object[rows];
            int done = 0;
            while (done < rows) {
                int width = (int) (in.readLong() & 0xff);
                Object[] dictionary = inner.read(in, count(in.readLong(), MOST_TEXT));
                int here = count(in.readLong(), rows - done);
                if (here == 0) {
                    throw new WireException(
                            WireException.Reason.MALFORMED, "a dictionary without values");
                }
                for (int i = 0; i < here; i++) {
                    int at =
                            switch (width) {
                                case 0 -> in.readByte();
                                case 1 -> readShort(in);
                                case 2 -> in.readInt();
                                default -> (int) in.readLong();
                            };
                    if (at < 0 || at >= dictionary.length) {
                        throw new WireException(
                                WireException.Reason.MALFORMED,
                                "value " + at + " of a dictionary of " + dictionary.length);
                    }
                    values[done++] = nullable && at == 0 ? null : dictionary[at];
                }
            }
            return values;
        }

        private static int count(long n, long most) throws WireException {
            if (n < 0 || n > most) {
                throw new WireException(
                        WireException.Reason.MALFORMED, "a dictionary has " + n + " values");
            }
            return (int) n;
        }
    }
}
