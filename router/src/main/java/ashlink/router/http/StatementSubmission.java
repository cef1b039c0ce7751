package ashlink.router.http;

import ashlink.wire.Setting;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A submitted statement. The body of the request is the text of the statement, or a JSON object
 * with {@code statement}, {@code database}, {@code settings} and, for an insert, {@code rows}.
 * Query parameters are also settings, except for the parameters of the API.
 *
 * @param statement text of the statement
 * @param database default database
 * @param settings settings by name
 * @param rows rows of an insert, or null
 * @param digest digest of the other components; compared if an idempotency key is used again
 */
record StatementSubmission(
        String statement,
        String database,
        Map<String, String> settings,
        JsonNode rows,
        String digest) {

    private static final int MAX_JSON_DEPTH = 32;
    private static final ObjectMapper MAPPER =
            JsonMapper.builder(
                            JsonFactory.builder()
                                    .streamReadConstraints(
                                            StreamReadConstraints.builder()
                                                    .maxNestingDepth(MAX_JSON_DEPTH)
                                                    .build())
                                    .build())
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final Set<String> JSON_FIELDS =
            Set.of("statement", "database", "settings", "rows");

    /** Query parameters of the API, which are not settings. */
    static final Set<String> API_PARAMETERS = Set.of("wait", "database");

    private static final String DEFAULT_DATABASE = "default";
    private static final String DIGEST_ALGORITHM = "SHA-256";
    private static final int MAX_SETTINGS = 1_000;

    /** Thrown if a submission is invalid. */
    static final class InvalidSubmissionException extends Exception {

        private static final long serialVersionUID = 1L;

        private final transient ProblemDetail problem;

        InvalidSubmissionException(ProblemDetail.Kind kind, String detail) {
            super(detail);
            problem = ProblemDetail.of(kind, detail);
        }

        ProblemDetail problem() {
            return problem;
        }
    }

    /**
     * Parses a submission.
     *
     * @param contentType value of the Content-Type header, or null
     * @param parameters query parameters by name
     */
    static StatementSubmission read(byte[] body, String contentType, Map<String, String> parameters)
            throws InvalidSubmissionException {
        String mediaType = mediaType(contentType);
        Map<String, String> settings = new TreeMap<>(parameters);
        settings.keySet().removeAll(API_PARAMETERS);
        String database = parameters.getOrDefault("database", DEFAULT_DATABASE);
        if (mediaType.equals("application/json")) {
            return readJson(parseJson(body), database, settings);
        }
        if (mediaType.startsWith("text/")
                || mediaType.equals("application/sql")
                || mediaType.equals("application/x-www-form-urlencoded")) {
            return create(decodeUtf8(body), database, settings, null);
        }
        throw new InvalidSubmissionException(
                ProblemDetail.Kind.MEDIA_TYPE,
                "unsupported media type "
                        + mediaType
                        + ": text/plain, application/sql or application/json");
    }

    private static String mediaType(String contentType) {
        return contentType == null
                ? "text/plain"
                : contentType.split(";")[0].trim().toLowerCase(Locale.ROOT);
    }

    private static StatementSubmission readJson(
            JsonNode body, String defaultDatabase, Map<String, String> settings)
            throws InvalidSubmissionException {
        for (var names = body.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!JSON_FIELDS.contains(name)) {
                throw new InvalidSubmissionException(
                        ProblemDetail.Kind.BAD_REQUEST,
                        "unknown field "
                                + name
                                + ": statement, database, settings and rows are accepted");
            }
        }
        String statement = textOrDefault(body.path("statement"), "");
        String database = textOrDefault(body.path("database"), defaultDatabase);
        addSettings(body.path("settings"), settings);
        JsonNode rows = body.get("rows");
        if (rows != null && !rows.isArray()) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "rows must be an array of arrays");
        }
        return create(statement, database, settings, rows);
    }

    private static String textOrDefault(JsonNode node, String defaultText) {
        return node.isTextual() ? node.textValue() : defaultText;
    }

    private static StatementSubmission create(
            String statement, String database, Map<String, String> settings, JsonNode rows)
            throws InvalidSubmissionException {
        if (statement.isBlank()) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the statement is missing or blank");
        }
        if (settings.size() > MAX_SETTINGS) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST,
                    "invalid number of settings " + settings.size() + ": at most " + MAX_SETTINGS);
        }
        return new StatementSubmission(
                statement, database, settings, rows, digest(statement, database, settings, rows));
    }

    private static JsonNode parseJson(byte[] body) throws InvalidSubmissionException {
        try {
            JsonNode node = MAPPER.readTree(body);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST,
                    "the body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the body is not valid JSON");
        }
        throw new InvalidSubmissionException(
                ProblemDetail.Kind.BAD_REQUEST, "the body is not a JSON object");
    }

    private static void addSettings(JsonNode node, Map<String, String> settings)
            throws InvalidSubmissionException {
        if (!node.isMissingNode() && !node.isObject()) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "settings must be a JSON object");
        }
        node.properties().forEach(entry -> settings.put(entry.getKey(), entry.getValue().asText()));
    }

    private static String decodeUtf8(byte[] body) throws InvalidSubmissionException {
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
        } catch (CharacterCodingException e) {
            throw new InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the statement is not valid UTF-8");
        }
    }

    /** Digests everything that determines the effect of a statement; stored instead of the text. */
    private static String digest(
            String statement, String database, Map<String, String> settings, JsonNode rows) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance(DIGEST_ALGORITHM);
            for (String part :
                    new String[] {
                        statement,
                        database,
                        settings.toString(),
                        rows == null ? "" : rows.toString()
                    }) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                sha256.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
                sha256.update(bytes);
            }
            return HexFormat.of().formatHex(sha256.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("digest " + DIGEST_ALGORITHM + " is not available", e);
        }
    }

    /** Returns the settings as settings of the native protocol. */
    List<Setting> settingList() {
        List<Setting> list = new ArrayList<>();
        settings.forEach((name, value) -> list.add(new Setting(name, 0, value)));
        return list;
    }
}
