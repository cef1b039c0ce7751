package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.wire.ServerError;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * What goes wrong, as RFC 9457 has it. Each kind has a type, a status and a title, and says whether
 * the statement may have run; these are the words of docs/statement-api.md.
 *
 * @param retryAfterNs when to come back, 0 where that is not told
 * @param code of the engine's exception, 0 where there is none
 */
public record ProblemDetail(Kind kind, String detail, long retryAfterNs, int code) {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;

    /** The kinds. */
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

        /** Its status. */
        public int status() {
            return status;
        }

        /** The last part of its type. */
        public String word() {
            return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
        }
    }

    /** A problem without further figures. */
    public static ProblemDetail of(Kind kind, String detail) {
        return new ProblemDetail(kind, detail, 0, 0);
    }

    /** The problem of a statement that ended without a result. */
    public static ProblemDetail of(StatementOutcome ending, ServerError error, long retryAfterNs) {
        String text = error == null ? "" : error.message();
        return switch (ending) {
            case REFUSED, TURNED_AWAY -> new ProblemDetail(Kind.REFUSED, text, retryAfterNs, 0);
            case FAILED, BROKEN -> of(Kind.FAILED, text);
            case ERROR ->
                    new ProblemDetail(
                            Kind.STATEMENT_ERROR, text, 0, error == null ? 0 : error.code());
            case CANCELLED -> of(Kind.CANCELLED, text);
            case BAD_INPUT -> of(Kind.BAD_INPUT, text);
            case GONE ->
                    of(
                            Kind.GONE,
                            "nobody asked for it in time; its work was called off where that is"
                                    + " allowed");
            case SERVED -> of(Kind.GONE, "its result was dropped");
        };
    }

    /** Value of Retry-After in whole seconds, 0 for none. */
    long retryAfterS() {
        return (retryAfterNs + S - 1) / S;
    }

    byte[] json(String statement) {
        ObjectNode objectNode = JSON.createObjectNode();
        objectNode
                .put("type", "/problems/" + kind.word())
                .put("title", kind.title)
                .put("status", kind.status);
        objectNode.put("mayHaveRun", kind.mayHaveRun);
        if (!detail.isEmpty()) {
            objectNode.put("detail", detail);
        }
        if (code != 0) {
            objectNode.put("code", code);
        }
        if (retryAfterNs > 0) {
            objectNode.put("retryAfterMs", (retryAfterNs + MS - 1) / MS);
        }
        if (statement != null) {
            objectNode.put("statement", statement);
        }
        try {
            return JSON.writeValueAsBytes(objectNode);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
