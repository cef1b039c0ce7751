package ashlink.router.http;

import ashlink.wire.BlockReader;
import ashlink.wire.BlockReader.Table;
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
 * The formats in which a page can be rendered. Values are exact in each format;
 * docs/statement-api.md lists the representation of each type.
 */
enum ResultFormat {
    JSON("application/json"),
    CSV("text/csv"),
    NDJSON("application/x-ndjson");

    private static final JsonFactory FACTORY = new JsonFactory();
    private static final int READ_BYTES = 64 << 10;

    private final String mediaType;

    ResultFormat(String mediaType) {
        this.mediaType = mediaType;
    }

    String mediaType() {
        return mediaType;
    }

    /** Returns the value of the Content-Type header. */
    String contentType() {
        return this == CSV ? mediaType + "; charset=utf-8" : mediaType;
    }

    /** Returns the first supported format in an Accept header, or null. */
    static ResultFormat accepted(String accept) {
        if (accept == null || accept.isBlank()) {
            return JSON;
        }
        for (String part : accept.split(",")) {
            String range = part.split(";")[0].trim().toLowerCase(Locale.ROOT);
            switch (range) {
                case "application/json", "application/*", "*/*" -> {
                    return JSON;
                }
                case "text/csv", "text/*" -> {
                    return CSV;
                }
                case "application/x-ndjson", "application/jsonl", "application/jsonlines" -> {
                    return NDJSON;
                }
                default -> {}
            }
        }
        return null;
    }

    /** The metadata of a JSON page; {@code nextUri} is null on the last page. */
    record PageInfo(String id, String state, String nextUri) {}

    /**
     * Renders a page.
     *
     * @param blocks blocks of the page
     * @param header block without rows that names the columns if {@code blocks} is empty; may be
     *     empty
     */
    byte[] render(byte[] blocks, byte[] header, int page, PageInfo info, WireLimits limits)
            throws IOException {
        List<Table> tables = new ArrayList<>();
        readTables(blocks, limits, tables);
        Table columns = tables.isEmpty() ? null : tables.get(0);
        if (columns == null && header.length > 0) {
            List<Table> headerTables = new ArrayList<>();
            readTables(header, limits, headerTables);
            columns = headerTables.get(0);
        }
        ByteArrayBuilder out = new ByteArrayBuilder(blocks.length * 2 + 256);
        switch (this) {
            case JSON -> writeJson(tables, columns, page, info, out);
            case CSV -> writeCsv(tables, columns, page, out);
            case NDJSON -> writeNdjson(tables, out);
            default -> throw new IllegalStateException("unsupported result format " + this);
        }
        return out.toByteArray();
    }

    private static void readTables(byte[] bytes, WireLimits limits, List<Table> to)
            throws IOException {
        StreamSource in =
                new StreamSource(
                        new ByteArrayInputStream(bytes),
                        Math.max(16, Math.min(bytes.length, READ_BYTES)));
        BlockReader blocks = new BlockReader(in, limits);
        while (in.consumed() < bytes.length) {
            to.add(blocks.readValues(Integer.MAX_VALUE));
        }
    }

    // JSON

    private static void writeJson(
            List<Table> tables, Table columns, int page, PageInfo info, ByteArrayBuilder out)
            throws IOException {
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            generator.writeStartObject();
            generator.writeStringField("id", info.id);
            generator.writeStringField("state", info.state);
            generator.writeNumberField("page", page);
            generator.writeArrayFieldStart("columns");
            for (int c = 0; columns != null && c < columns.names().size(); c++) {
                generator.writeStartObject();
                generator.writeStringField("name", columns.names().get(c));
                generator.writeStringField("type", columns.types().get(c));
                generator.writeEndObject();
            }
            generator.writeEndArray();
            generator.writeArrayFieldStart("rows");
            for (Table table : tables) {
                for (int r = 0; r < table.rows(); r++) {
                    generator.writeStartArray();
                    for (Object[] column : table.columns()) {
                        writeValue(column[r], generator);
                    }
                    generator.writeEndArray();
                }
            }
            generator.writeEndArray();
            if (info.nextUri != null) {
                generator.writeStringField("nextUri", info.nextUri);
            }
            generator.writeEndObject();
        }
    }

    private static void writeNdjson(List<Table> tables, ByteArrayBuilder out) throws IOException {
        try (JsonGenerator generator = FACTORY.createGenerator(out)) {
            generator.setRootValueSeparator(null);
            for (Table table : tables) {
                for (int r = 0; r < table.rows(); r++) {
                    generator.writeStartObject();
                    for (int c = 0; c < table.columns().size(); c++) {
                        generator.writeFieldName(table.names().get(c));
                        writeValue(table.columns().get(c)[r], generator);
                    }
                    generator.writeEndObject();
                    generator.writeRaw('\n');
                }
            }
        }
    }

    private static void writeValue(Object value, JsonGenerator generator) throws IOException {
        if (value == null) {
            generator.writeNull();
        } else if (value instanceof Long number) {
            generator.writeNumber(number);
        } else if (value instanceof BigInteger || value instanceof String) {
            generator.writeString(value.toString());
        } else if (value instanceof BigDecimal decimal) {
            generator.writeString(decimal.toPlainString());
        } else if (value instanceof Boolean flag) {
            generator.writeBoolean(flag);
        } else if (value instanceof Double || value instanceof Float) {
            writeFloat((Number) value, generator);
        } else if (value instanceof byte[] bytes) {
            writeText(bytes, generator);
        } else {
            generator.writeStartArray();
            for (Object element : (List<?>) value) {
                writeValue(element, generator);
            }
            generator.writeEndArray();
        }
    }

    private static void writeFloat(Number value, JsonGenerator generator) throws IOException {
        if (!Double.isFinite(value.doubleValue())) {
            generator.writeString(nonFiniteText(value.doubleValue()));
        } else if (value instanceof Float number) {
            generator.writeNumber(number);
        } else {
            generator.writeNumber(value.doubleValue());
        }
    }

    /** Writes bytes as text, or as an object with Base64 if the bytes are not valid UTF-8. */
    private static void writeText(byte[] bytes, JsonGenerator generator) throws IOException {
        try {
            generator.writeString(
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
        } catch (CharacterCodingException e) {
            generator.writeStartObject();
            generator.writeFieldName("base64");
            generator.writeBinary(bytes);
            generator.writeEndObject();
        }
    }

    private static String nonFiniteText(double value) {
        if (Double.isNaN(value)) {
            return "nan";
        }
        return value > 0 ? "inf" : "-inf";
    }

    // CSV

    private static void writeCsv(List<Table> tables, Table columns, int page, ByteArrayBuilder out)
            throws IOException {
        if (page == 0 && columns != null) {
            for (int c = 0; c < columns.names().size(); c++) {
                if (c > 0) {
                    out.write(',');
                }
                writeQuoted(columns.names().get(c).getBytes(StandardCharsets.UTF_8), out);
            }
            out.write('\r');
            out.write('\n');
        }
        for (Table table : tables) {
            for (int r = 0; r < table.rows(); r++) {
                for (int c = 0; c < table.columns().size(); c++) {
                    if (c > 0) {
                        out.write(',');
                    }
                    writeField(table.columns().get(c)[r], out);
                }
                out.write('\r');
                out.write('\n');
            }
        }
    }

    /** Strings are always quoted, null never is: an empty field is null, "" an empty string. */
    private static void writeField(Object value, ByteArrayBuilder out) throws IOException {
        if (value instanceof byte[] bytes) {
            writeQuoted(bytes, out);
        } else if (value instanceof List<?>) {
            ByteArrayBuilder json = new ByteArrayBuilder();
            try (JsonGenerator generator = FACTORY.createGenerator(json)) {
                writeValue(value, generator);
            }
            writeQuoted(json.toByteArray(), out);
        } else if (value instanceof BigDecimal decimal) {
            out.write(decimal.toPlainString().getBytes(StandardCharsets.US_ASCII));
        } else if (value instanceof Double || value instanceof Float) {
            double number = ((Number) value).doubleValue();
            String text = Double.isFinite(number) ? value.toString() : nonFiniteText(number);
            out.write(text.getBytes(StandardCharsets.US_ASCII));
        } else if (value instanceof String text) {
            writeQuoted(text.getBytes(StandardCharsets.UTF_8), out);
        } else if (value != null) {
            out.write(value.toString().getBytes(StandardCharsets.UTF_8));
        }
    }

    private static void writeQuoted(byte[] bytes, ByteArrayBuilder out) {
        out.write('"');
        int from = 0;
        for (int i = 0; i < bytes.length; i++) {
            if (bytes[i] == '"') {
                out.write(bytes, from, i + 1 - from);
                from = i; // Doubles the quote: it is also the first byte of the next range.
            }
        }
        out.write(bytes, from, bytes.length - from);
        out.write('"');
    }
}
