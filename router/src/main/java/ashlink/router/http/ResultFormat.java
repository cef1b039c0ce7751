package ashlink.router.http;

import ashlink.wire.Blocks;
import ashlink.wire.Blocks.Table;
import ashlink.wire.StreamSource;
import ashlink.wire.WireLimits;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.util.ByteArrayBuilder;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The forms in which a page is given. Values are exact in each: docs/statement-api.md has the table
 * of types.
 */
enum ResultFormat {
    JSON("application/json"),
    CSV("text/csv"),
    LINES("application/x-ndjson");

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int READ_BYTES = 64 << 10;

    private final String type;

    ResultFormat(String type) {
        this.type = type;
    }

    String type() {
        return type;
    }

    /** The first of a client's accepted forms that is offered, or null. */
    static ResultFormat accepted(String accept) {
        if (accept == null || accept.isBlank()) {
            return JSON;
        }
        for (String part : accept.split(",")) {
            String name = part.split(";")[0].trim().toLowerCase(Locale.ROOT);
            switch (name) {
                case "application/json", "application/*", "*/*" -> {
                    return JSON;
                }
                case "text/csv", "text/*" -> {
                    return CSV;
                }
                case "application/x-ndjson", "application/jsonl", "application/jsonlines" -> {
                    return LINES;
                }
                default -> {}
            }
        }
        return null;
    }

    /** What stands around the rows of a JSON page. */
    record Around(String id, String state, String nextUri) {}

    /** A page's bytes: the rows of its blocks, the columns of the header where there are none. */
    byte[] render(byte[] blocks, byte[] header, int page, Around around, WireLimits limits)
            throws IOException {
        List<Table> tables = new ArrayList<>();
        read(blocks, limits, tables);
        Table columns = tables.isEmpty() ? null : tables.get(0);
        if (columns == null && header.length > 0) {
            List<Table> none = new ArrayList<>();
            read(header, limits, none);
            columns = none.get(0);
        }
        ByteArrayBuilder out = new ByteArrayBuilder(blocks.length * 2 + 256);
        switch (this) {
            case JSON -> json(tables, columns, page, around, out);
            case CSV -> csv(tables, columns, page, out);
            case LINES -> lines(tables, out);
        }
        return out.toByteArray();
    }

    private static void read(byte[] bytes, WireLimits limits, List<Table> to) throws IOException {
        StreamSource in =
                new StreamSource(
                        new ByteArrayInputStream(bytes),
                        Math.max(16, Math.min(bytes.length, READ_BYTES)));
        Blocks blocks = new Blocks(in, limits);
        while (in.consumed() < bytes.length) {
            to.add(blocks.readValues(Integer.MAX_VALUE));
        }
    }

    // ---- JSON
    private static void json(
            List<Table> tables, Table columns, int page, Around around, ByteArrayBuilder out)
            throws IOException {
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            g.writeStartObject();
            g.writeStringField("id", around.id);
            g.writeStringField("state", around.state);
            g.writeNumberField("page", page);
            g.writeArrayFieldStart("columns");
            for (int c = 0; columns != null && c < columns.names().size(); c++) {
                g.writeStartObject();
                g.writeStringField("name", columns.names().get(c));
                g.writeStringField("type", columns.types().get(c));
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeArrayFieldStart("rows");
            for (Table t : tables) {
                for (int r = 0; r < t.rows(); r++) {
                    g.writeStartArray();
                    for (Object[] column : t.columns()) {
                        value(column[r], g);
                    }
                    g.writeEndArray();
                }
            }
            g.writeEndArray();
            if (around.nextUri != null) {
                g.writeStringField("nextUri", around.nextUri);
            }
            g.writeEndObject();
        }
    }

    private static void lines(List<Table> tables, ByteArrayBuilder out) throws IOException {
        try (JsonGenerator g = FACTORY.createGenerator(out)) {
            g.setRootValueSeparator(null);
            for (Table t : tables) {
                for (int r = 0; r < t.rows(); r++) {
                    g.writeStartObject();
                    for (int c = 0; c < t.columns().size(); c++) {
                        g.writeFieldName(t.names().get(c));
                        value(t.columns().get(c)[r], g);
                    }
                    g.writeEndObject();
                    g.writeRaw('\n');
                }
            }
        }
    }

    private static void value(Object v, JsonGenerator g) throws IOException {
        if (v == null) {
            g.writeNull();
        } else if (v instanceof Long n) {
            g.writeNumber(n);
        } else if (v instanceof BigInteger || v instanceof String) {
            g.writeString(v.toString());
        } else if (v instanceof BigDecimal d) {
            g.writeString(d.toPlainString());
        } else if (v instanceof Boolean b) {
            g.writeBoolean(b);
        } else if (v instanceof Double d) {
            if (Double.isFinite(d)) {
                g.writeNumber(d);
            } else {
                g.writeString(number(d));
            }
        } else if (v instanceof Float f) {
            if (Float.isFinite(f)) {
                g.writeNumber(f);
            } else {
                g.writeString(number(f.doubleValue()));
            }
        } else if (v instanceof byte[] bytes) {
            text(bytes, g);
        } else {
            g.writeStartArray();
            for (Object e : (List<?>) v) {
                value(e, g);
            }
            g.writeEndArray();
        }
    }

    /**
     * Bytes that are no UTF-8 have no text: they are told in base 64, within an object, so that no
     * text looks like it.
     */
    private static void text(byte[] bytes, JsonGenerator g) throws IOException {
        try {
            g.writeString(
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
        } catch (CharacterCodingException e) {
            g.writeStartObject();
            g.writeFieldName("base64");
            g.writeBinary(bytes);
            g.writeEndObject();
        }
    }

    private static String number(double d) {
        return Double.isNaN(d) ? "nan" : d > 0 ? "inf" : "-inf";
    }

    // ---- CSV
    private static void csv(List<Table> tables, Table columns, int page, ByteArrayBuilder out)
            throws IOException {
        if (page == 0 && columns != null) {
            for (int c = 0; c < columns.names().size(); c++) {
                if (c > 0) {
                    out.write(',');
                }
                quoted(columns.names().get(c).getBytes(StandardCharsets.UTF_8), out);
            }
            out.write('\r');
            out.write('\n');
        }
        for (Table t : tables) {
            for (int r = 0; r < t.rows(); r++) {
                for (int c = 0; c < t.columns().size(); c++) {
                    if (c > 0) {
                        out.write(',');
                    }
                    field(t.columns().get(c)[r], out);
                }
                out.write('\r');
                out.write('\n');
            }
        }
    }

    /** Texts are always quoted and null never is: an empty field is null, "" is an empty text. */
    private static void field(Object v, ByteArrayBuilder out) throws IOException {
        if (v instanceof byte[] bytes) {
            quoted(bytes, out);
        } else if (v instanceof List<?>) {
            ByteArrayBuilder json = new ByteArrayBuilder();
            try (JsonGenerator g = FACTORY.createGenerator(json)) {
                value(v, g);
            }
            quoted(json.toByteArray(), out);
        } else if (v instanceof BigDecimal d) {
            out.write(d.toPlainString().getBytes(StandardCharsets.US_ASCII));
        } else if (v instanceof Double || v instanceof Float) {
            double d = ((Number) v).doubleValue();
            out.write(
                    (Double.isFinite(d) ? v.toString() : number(d))
                            .getBytes(StandardCharsets.US_ASCII));
        } else if (v != null) {
            String text = v.toString();
            if (v instanceof String) {
                quoted(text.getBytes(StandardCharsets.UTF_8), out);
            } else {
                out.write(text.getBytes(StandardCharsets.UTF_8));
            }
        }
    }

    private static void quoted(byte[] bytes, ByteArrayBuilder out) {
        out.write('"');
        int from = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '"') {
                out.write(bytes, from, i + 1 - from);
                from = i; // once more, with what follows
            }
        }
        out.write(bytes, from, bytes.length - from);
        out.write('"');
    }
}
