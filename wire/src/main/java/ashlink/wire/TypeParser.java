package ashlink.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Parses the name of a column type by recursive descent: {@code type = name [ "(" argument { ","
 * argument } ")" ]}, where an argument is a type, a type with an element name, a number or a quoted
 * string.
 */
public final class TypeParser {

    /**
     * Limit on nested types; a deeper type is malformed, far below the depth of a stack overflow.
     */
    private static final int MAX_DEPTH = 32;

    private static final ColumnType STRING = new ColumnType.Text();
    private static final ColumnType POINT = new ColumnType.Fixed(16);
    private static final Map<String, ColumnType> TYPES_WITHOUT_ARGUMENTS =
            Map.ofEntries(
                    fixed("Int8", 1),
                    fixed("Int16", 2),
                    fixed("Int32", 4),
                    fixed("Int64", 8),
                    fixed("Int128", 16),
                    fixed("Int256", 32),
                    fixed("UInt8", 1),
                    fixed("UInt16", 2),
                    fixed("UInt32", 4),
                    fixed("UInt64", 8),
                    fixed("UInt128", 16),
                    fixed("UInt256", 32),
                    fixed("Float32", 4),
                    fixed("Float64", 8),
                    fixed("Bool", 1),
                    fixed("Date", 2),
                    fixed("Date32", 4),
                    fixed("UUID", 16),
                    fixed("IPv4", 4),
                    fixed("IPv6", 16),
                    fixed("Nothing", 1),
                    fixed("DateTime", 4),
                    fixed("DateTime32", 4),
                    Map.entry("String", STRING),
                    Map.entry("Point", POINT),
                    Map.entry("Ring", new ColumnType.Array(POINT)),
                    Map.entry("Polygon", new ColumnType.Array(new ColumnType.Array(POINT))),
                    Map.entry(
                            "MultiPolygon",
                            new ColumnType.Array(
                                    new ColumnType.Array(new ColumnType.Array(POINT)))));
    private static final Set<String> INTERVALS =
            Set.of(
                    "Nanosecond",
                    "Microsecond",
                    "Millisecond",
                    "Second",
                    "Minute",
                    "Hour",
                    "Day",
                    "Week",
                    "Month",
                    "Quarter",
                    "Year");

    /**
     * Word, number or quoted string with its arguments; {@code value} is the number of an
     * enumeration element, or empty.
     */
    record Term(String name, List<Term> arguments, boolean quoted, String value) {}

    private final String text;
    private int pos;

    private TypeParser(String text) {
        this.text = text;
    }

    private static Map.Entry<String, ColumnType> fixed(String name, int bytes) {
        return Map.entry(name, new ColumnType.Fixed(bytes));
    }

    /**
     * Parses a column type; throws {@code UNKNOWN_TYPE} if the text is well-formed but the type is
     * not supported, {@code MALFORMED} if the text is not well-formed.
     */
    public static ColumnType parse(String text) throws WireException {
        ColumnType withoutArguments = TYPES_WITHOUT_ARGUMENTS.get(text);
        if (withoutArguments != null) {
            return withoutArguments;
        }
        TypeParser parser = new TypeParser(text);
        return parser.type(parser.completeTerm());
    }

    /** Parses a type into a term; checks only that the text is well-formed. */
    static Term term(String text) throws WireException {
        return new TypeParser(text).completeTerm();
    }

    private Term completeTerm() throws WireException {
        Term term = term(0);
        if (pos < text.length()) {
            throw malformed("unexpected text after the type");
        }
        return term;
    }

    private WireException malformed(String what) {
        String excerpt = text.length() > 100 ? text.substring(0, 100) + "..." : text;
        return new WireException(
                WireException.Reason.MALFORMED,
                "invalid column type "
                        + excerpt
                        + " at character "
                        + Math.min(pos, text.length())
                        + ": "
                        + what);
    }

    private WireException unknown(String name) {
        String excerpt = name.length() > 100 ? name.substring(0, 100) + "..." : name;
        return new WireException(
                WireException.Reason.UNKNOWN_TYPE, "unsupported column type " + excerpt);
    }

    // ---- From text to terms
    private Term term(int depth) throws WireException {
        if (depth > MAX_DEPTH) {
            throw malformed("types nested too deep: at most " + MAX_DEPTH + " levels");
        }
        skipWhitespace();
        if (pos < text.length() && text.charAt(pos) == '\'') {
            return withValue(new Term(quoted('\''), List.of(), true, ""));
        }
        String name = word();
        skipWhitespace();
        if (pos < text.length()
                && text.charAt(pos) != '('
                && text.charAt(pos) != ','
                && text.charAt(pos) != ')'
                && text.charAt(pos) != '=') {
            // The first word was the name of a tuple element.
            name = word();
            skipWhitespace();
        }
        List<Term> arguments = new ArrayList<>();
        if (pos < text.length() && text.charAt(pos) == '(') {
            do {
                pos++;
                arguments.add(term(depth + 1));
                skipWhitespace();
            } while (pos < text.length() && text.charAt(pos) == ',');
            if (pos >= text.length() || text.charAt(pos) != ')') {
                throw malformed("unclosed parenthesis");
            }
            pos++;
            skipWhitespace();
        }
        return withValue(new Term(name, arguments, false, ""));
    }

    /** Parses the value of an enumeration element if there is one. */
    private Term withValue(Term term) throws WireException {
        skipWhitespace();
        if (pos >= text.length() || text.charAt(pos) != '=') {
            return term;
        }
        pos++;
        skipWhitespace();
        String value = word();
        skipWhitespace();
        return new Term(term.name, term.arguments, term.quoted, value);
    }

    private String word() throws WireException {
        if (pos < text.length() && (text.charAt(pos) == '`' || text.charAt(pos) == '"')) {
            return quoted(text.charAt(pos));
        }
        int from = pos;
        while (pos < text.length()
                && (Character.isLetterOrDigit(text.charAt(pos))
                        || "_-+.".indexOf(text.charAt(pos)) >= 0)) {
            pos++;
        }
        if (pos == from) {
            throw malformed("missing name or number");
        }
        return text.substring(from, pos);
    }

    private String quoted(char quote) throws WireException {
        int from = ++pos;
        while (pos < text.length() && text.charAt(pos) != quote) {
            pos += text.charAt(pos) == '\\' ? 2 : 1;
        }
        if (pos >= text.length()) {
            throw malformed("unclosed quote");
        }
        return text.substring(from, pos++);
    }

    private void skipWhitespace() {
        while (pos < text.length() && Character.isWhitespace(text.charAt(pos))) {
            pos++;
        }
    }

    // ---- From terms to column types
    private ColumnType type(Term term) throws WireException {
        if (term.quoted) {
            throw unknown("'" + term.name + "'");
        }
        List<Term> arguments = term.arguments;
        ColumnType withoutArguments = TYPES_WITHOUT_ARGUMENTS.get(term.name);
        if (withoutArguments != null && (arguments.isEmpty() || term.name.startsWith("DateTime"))) {
            return withoutArguments;
        }
        if (term.name.startsWith("Interval")
                && INTERVALS.contains(term.name.substring("Interval".length()))) {
            return new ColumnType.Fixed(Long.BYTES);
        }
        return switch (term.name) {
            case "Enum8" -> new ColumnType.Fixed(1);
            case "Enum16" -> new ColumnType.Fixed(2);
            case "DateTime64" -> new ColumnType.Fixed(Long.BYTES);
            case "Decimal32" -> new ColumnType.Fixed(4);
            case "Decimal64" -> new ColumnType.Fixed(8);
            case "Decimal128" -> new ColumnType.Fixed(16);
            case "Decimal256" -> new ColumnType.Fixed(32);
            case "Decimal" -> decimal(number(term, 0, 76));
            case "FixedString" -> new ColumnType.Fixed(number(term, 0, 1 << 24));
            case "Nullable" -> new ColumnType.Nullable(type(argument(term, 0)));
            case "Array" -> new ColumnType.Array(type(argument(term, 0)));
            case "Map" ->
                    new ColumnType.Array(
                            new ColumnType.Tuple(
                                    List.of(type(argument(term, 0)), type(argument(term, 1)))));
            case "Tuple" -> tuple(term);
            case "Nested" -> new ColumnType.Array(tuple(term));
            case "LowCardinality" -> lowCardinality(argument(term, 0));
            case "SimpleAggregateFunction" -> type(argument(term, 1));
            default -> throw unknown(text);
        };
    }

    private ColumnType tuple(Term term) throws WireException {
        if (term.arguments.isEmpty()) {
            throw unknown(text);
        }
        List<ColumnType> elements = new ArrayList<>();
        for (Term element : term.arguments) {
            elements.add(type(element));
        }
        return new ColumnType.Tuple(List.copyOf(elements));
    }

    /**
     * Builds a dictionary type; the dictionary holds non-nullable values even if the column is
     * nullable.
     */
    private ColumnType lowCardinality(Term inner) throws WireException {
        Term nonNullable = inner.name.equals("Nullable") ? argument(inner, 0) : inner;
        return new ColumnType.LowCardinality(type(nonNullable));
    }

    private static ColumnType decimal(int digits) {
        return new ColumnType.Fixed(decimalBytes(digits));
    }

    /** Returns the size in bytes of a decimal number with the given number of digits, 1 to 76. */
    public static int decimalBytes(int digits) {
        return digits <= 9 ? 4 : digits <= 18 ? 8 : digits <= 38 ? 16 : 32;
    }

    private Term argument(Term term, int index) throws WireException {
        if (index >= term.arguments.size()) {
            throw malformed("missing argument " + (index + 1) + " of " + term.name);
        }
        return term.arguments.get(index);
    }

    private int number(Term term, int index, int max) throws WireException {
        String digits = argument(term, index).name;
        try {
            int value = Integer.parseInt(digits);
            if (value > 0 && value <= max) {
                return value;
            }
        } catch (NumberFormatException ignored) {
            // Reported below together with numbers that are out of range.
        }
        throw malformed(
                "invalid argument " + digits + " of " + term.name + ": expected 1 to " + max);
    }
}
