package ashlink.wire;

import ashlink.wire.TypeParser.Term;
import java.util.ArrayList;
import java.util.List;

/** Creates the reader of a column from the parsed column type. */
final class ValueReaders {

    /** Limit on the values of one column and on the bytes of one value; near the largest array. */
    static final int MAX_VALUES = Integer.MAX_VALUE - 16;

    private ValueReaders() {}

    /** Returns the reader of a type that {@link TypeParser#parse} has accepted. */
    static ValueReader of(Term term) throws WireException {
        List<Term> arguments = term.arguments();
        return switch (term.name()) {
            case "Nullable" -> new NullableReader(of(arguments.get(0)));
            case "Array" -> new ArrayReader(of(arguments.get(0)));
            case "Map" -> new ArrayReader(tuple(arguments.subList(0, 2)));
            case "Tuple" -> tuple(arguments);
            case "Nested" -> new ArrayReader(tuple(arguments));
            case "Point" -> point();
            case "Ring" -> new ArrayReader(point());
            case "Polygon" -> new ArrayReader(new ArrayReader(point()));
            case "MultiPolygon" -> new ArrayReader(new ArrayReader(new ArrayReader(point())));
            case "LowCardinality" -> dictionary(arguments.get(0));
            case "SimpleAggregateFunction" -> of(arguments.get(1));
            default -> scalar(ScalarReaders.of(term));
        };
    }

    private static ValueReader scalar(ScalarReader reader) {
        return (in, rows) -> {
            Object[] values = new Object[rows];
            for (int i = 0; i < rows; i++) {
                values[i] = reader.read(in);
            }
            return values;
        };
    }

    private static ValueReader tuple(List<Term> elements) throws WireException {
        List<ValueReader> readers = new ArrayList<>();
        for (Term element : elements) {
            readers.add(of(element));
        }
        return new TupleReader(readers);
    }

    private static ValueReader point() throws WireException {
        Term coordinate = TypeParser.term("Float64");
        return new TupleReader(List.of(of(coordinate), of(coordinate)));
    }

    private static ValueReader dictionary(Term element) throws WireException {
        boolean nullable = element.name().equals("Nullable");
        Term value = nullable ? element.arguments().get(0) : element;
        return new DictionaryReader(of(value), nullable);
    }
}
