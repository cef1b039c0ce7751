package ashlink.router.http;

import ashlink.wire.Setting;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A posted statement: the body is its text, or JSON with {@code statement}, {@code database},
 * {@code settings} and, for a load, {@code rows}. Parameters of the URI are settings too, but those
 * that the API itself takes.
 */
record StatementSubmission(
        String statement,
        String database,
        Map<String, String> settings,
        JsonNode rows,
        String digest) {

    private static final ObjectMapper JSON =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(32)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final Set<String> FIELDS = Set.of("statement", "database", "settings", "rows");
    static final Set<String> OWN = Set.of("wait", "database");
    private static final int MOST_SETTINGS = 1_000;

    /** A body that makes no sense. */
    static final class InvalidSubmissionException extends Exception {
        private final ProblemDetail problem;

        InvalidSubmissionException(ProblemDetail.Kind kind, String detail) {
            super(detail);
            problem = ProblemDetail.of(kind, detail);
        }

        ProblemDetail problem() {
            return problem;
        }
    }

    static StatementSubmission read(byte[] body, String contentType, Map<String, String> parameters)
            throws InvalidSubmissionException {
        String type =
                contentType == null
                        ? "text/plain"
                        : contentType.split(";")[0].trim().toLowerCase(java.util.Locale.ROOT);
        Map<String, String> settings = new TreeMap<>();
        parameters.forEach(
                (k, v) -> {
                    if (!OWN.contains(k)) {
                        settings.put(k, v);
                    }
                });
        String database = parameters.getOrDefault("database", "default");
        String text;
        JsonNode rows = null;
        if (type.equals("application/json")) {
            JsonNode node = tree(body);
            for (var names = node.fieldNames(); names.hasNext(); ) {
                String f = names.next();
                if (!FIELDS.contains(f)) {
                    throw new InvalidSubmissionException(
                            ProblemDetail.Kind.BAD_REQUEST,
                            "field "
                                    + f
                                    + " is unknown; there are statement, database, "
                                    + "settings, rows");
                }
            }
            text = node.path("statement").isTextual() ? node.get("statement").textValue() : "";
            database =
                    node.path("database").isTextual() ? node.get("database").textValue() : database;
            settings(node.path("settings"), settings);
            rows = node.path("rows").isMissingNode() ? null : node.get("rows");
            if (rows != null && !rows.isArray()) {
                throw new InvalidSubmissionException(
                        ProblemDetail.Kind.BAD_REQUEST, "rows are an array of arrays");
            }
        } else if (type.startsWith("text/")
                || type.equals("application/sql")
                || type.equals("application/x-www-form-urlencoded")) {
            text = utf8(body);
        } else {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.MEDIA_TYPE,
                    type + "; a statement is text/plain, application/sql or application/json");
        }
        if (text.isBlank()) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "there is no statement");
        }
        if (settings.size() > MOST_SETTINGS) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "over " + MOST_SETTINGS + " settings");
        }
        return new StatementSubmission(
                text, database, settings, rows, digest(text, database, settings, rows));
    }

    private static JsonNode tree(byte[] body) throws InvalidSubmissionException {
        try {
            JsonNode node = JSON.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST,
                    "the body is no JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the body is no JSON");
        }
        throw new InvalidSubmissionException(
                ProblemDetail.Kind.BAD_REQUEST, "the body is no JSON object");
    }

    private static void settings(JsonNode node, Map<String, String> to)
            throws InvalidSubmissionException {
        if (!node.isMissingNode() && !node.isObject()) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "settings are an object");
        }
        node.properties().forEach(entry -> to.put(entry.getKey(), entry.getValue().asText()));
    }

    private static String utf8(byte[] body) throws InvalidSubmissionException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the statement is no UTF-8");
        }
    }

    /** Of all that decides what is done; the text itself is not kept. */
    private static String digest(
            String text, String database, Map<String, String> settings, JsonNode rows) {
        try {
            MessageDigest messageDigest = MessageDigest.getInstance("SHA-256");
            for (String part :
                    new String[] {
                        text, database, settings.toString(), rows == null ? "" : rows.toString()
                    }) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                messageDigest.update(
                        ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
                messageDigest.update(bytes);
            }
            return HexFormat.of().formatHex(messageDigest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    List<Setting> settingList() {
        List<Setting> list = new ArrayList<>();
        settings.forEach((k, v) -> list.add(new Setting(k, 0, v)));
        return list;
    }
}
