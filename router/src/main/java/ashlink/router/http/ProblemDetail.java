package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import ashlink.wire.ServerError;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;

/**
 * A problem of the HTTP API in the format of RFC 9457. Each kind has a type, a status and a title,
 * and tells whether the statement may have run; docs/statement-api.md documents the kinds.
 *
 * @param detail human-readable explanation; may be empty
 * @param retryAfterNs time after which the client may retry; 0 for none
 * @param code code of the engine's error; 0 for none
 */
public record ProblemDetail(Kind kind, String detail, long retryAfterNs, int code) {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long NS_PER_MS = 1_000_000L;
    private static final long NS_PER_S = 1_000 * NS_PER_MS;

    /** The kinds of problems. The names are part of the API, see {@link #typeName}. */
    public enum Kind {
        BAD_REQUEST(400, "the request makes no sense", false),
        LOGIN(401, "user or password is wrong", false),
        NOT_FOUND(404, "there is no such thing here", false),
        METHOD(405, "this method is not for that path", false),
        NOT_ACCEPTABLE(406, "none of the accepted forms is offered", false),
        BODY_LATE(408, "the body did not come in time", false),
        CANCELLED(409, "the statement was cancelled, and may have run", true),
        GONE(410, "it was here, and was dropped", true),
        TOO_LARGE(413, "the body is over the limit", false),
        MEDIA_TYPE(415, "the body is in a form that is not taken", false),
        BAD_INPUT(422, "the data of the statement makes no sense", true),
        KEY_REUSED(422, "the key was used for another statement", false),
        STATEMENT_ERROR(422, "the engine answered with an error", true),
        TOO_MANY(
                429,
                "too many statements of this user are open; not run, trying again is harmless",
                false),
        FAILED(502, "failed, may have run, may have had its effect", true),
        FATE_UNKNOWN(
                502,
                "the router ended while it was under way; may have run, and is not run again",
                true),
        REFUSED(503, "refused, not run, trying again is harmless", false),
        BUSY(503, "the router has no room for this answer now; asking again is harmless", false),
        STOPPING(503, "the router stops; the result is lost, the statement may have run", true),
        RESULT_LOST(507, "the statement ran, its result could not be kept", true);

        private final int status;
        private final String title;
        private final boolean mayHaveRun;

        Kind(int status, String title, boolean mayHaveRun) {
            this.status = status;
            this.title = title;
            this.mayHaveRun = mayHaveRun;
        }

        /** Returns the HTTP status. */
        public int status() {
            return status;
        }

        /** Returns the last part of the type URI. */
        public String typeName() {
            return name().toLowerCase(Locale.ROOT).replace('_', '-');
        }
    }

    /** Creates a problem without a retry delay or an error code. */
    public static ProblemDetail of(Kind kind, String detail) {
        return new ProblemDetail(kind, detail, 0, 0);
    }

    /** Creates the problem that a result cannot be stored or read. */
    static ProblemDetail resultLost(IOException failure) {
        return of(Kind.RESULT_LOST, String.valueOf(failure.getMessage()));
    }

    /** Creates the problem that a page was released because a later page was requested. */
    static ProblemDetail pageReleased(int page) {
        return of(
                Kind.GONE,
                "page "
                        + page
                        + " was released because page "
                        + (page + 2)
                        + " or a later page was requested");
    }

    /** Creates the problem that a page does not exist or was requested out of order. */
    static ProblemDetail pageUnknown(int page) {
        return of(
                Kind.NOT_FOUND,
                "page " + page + " does not exist; pages must be requested in order");
    }

    /**
     * Creates the problem of a statement that ended without a result or whose result is discarded.
     *
     * @param error error of the engine or the router, or null
     */
    public static ProblemDetail of(StatementOutcome outcome, ServerError error, long retryAfterNs) {
        String text = error == null ? "" : error.message();
        return switch (outcome) {
            case REJECTED, NOT_ADMITTED -> new ProblemDetail(Kind.REFUSED, text, retryAfterNs, 0);
            case FAILED, INCOMPLETE -> of(Kind.FAILED, text);
            case ERROR ->
                    new ProblemDetail(
                            Kind.STATEMENT_ERROR, text, 0, error == null ? 0 : error.code());
            case CANCELLED -> of(Kind.CANCELLED, text);
            case PROTOCOL_VIOLATION -> of(Kind.BAD_INPUT, text);
            case CLIENT_DISCONNECTED ->
                    of(
                            Kind.GONE,
                            "the result was not polled in time; the statement was cancelled if"
                                    + " cancellation was allowed");
            case SERVED -> of(Kind.GONE, "the result was discarded");
        };
    }

    /** Creates the problem of a statement of which only the idempotency key is known. */
    static ProblemDetail expired(Entry entry) {
        if (entry.status() != Status.COMPLETED) {
            return of(Kind.FATE_UNKNOWN, "");
        }
        return entry.outcome() == StatementOutcome.SERVED
                ? of(Kind.GONE, "the statement was served; its result is no longer retained")
                : of(entry.outcome(), null, 0);
    }

    /** Returns the retry delay in seconds, rounded up, for the Retry-After header; 0 for none. */
    long retryAfterS() {
        return (retryAfterNs + NS_PER_S - 1) / NS_PER_S;
    }

    /** Returns the body of the response; {@code statement} is a statement identifier or null. */
    byte[] json(String statement) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("type", "/problems/" + kind.typeName())
                .put("title", kind.title)
                .put("status", kind.status);
        body.put("mayHaveRun", kind.mayHaveRun);
        if (!detail.isEmpty()) {
            body.put("detail", detail);
        }
        if (code != 0) {
            body.put("code", code);
        }
        if (retryAfterNs > 0) {
            body.put("retryAfterMs", (retryAfterNs + NS_PER_MS - 1) / NS_PER_MS);
        }
        if (statement != null) {
            body.put("statement", statement);
        }
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("problem cannot be serialized as JSON", e);
        }
    }
}
