package ashlink.router.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** An HTTP request of the API and the means to respond to it; exactly one response is sent. */
record HttpExchange(Request request, Response response, Callback callback) {

    static final String JSON_TYPE = "application/json";

    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final String CHALLENGE = "Basic realm=\"ashlink\", charset=\"UTF-8\"";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the value of a request header, or null. */
    String header(HttpHeader name) {
        return request.getHeaders().get(name);
    }

    /** Sets a response header; replaces an earlier value. */
    void setHeader(HttpHeader name, String value) {
        response.getHeaders().put(name, value);
    }

    /** Sends a complete response. */
    void send(int status, String contentType, byte[] body) {
        send(status, contentType, body, callback);
    }

    /** Sends a complete response; {@code done} runs once the response is written or has failed. */
    void send(int status, String contentType, byte[] body, Callback done) {
        response.setStatus(status);
        setHeader(HttpHeader.CONTENT_TYPE, contentType);
        setHeader(HttpHeader.CACHE_CONTROL, "no-store");
        response.write(true, ByteBuffer.wrap(body), done);
    }

    /**
     * Sends a problem response.
     *
     * @param statementId identifier of the statement that the problem is about, or null
     */
    void sendProblem(ProblemDetail problem, String statementId) {
        if (problem.retryAfterNs() > 0) {
            setHeader(HttpHeader.RETRY_AFTER, Long.toString(problem.retryAfterS()));
        }
        switch (problem.kind()) {
            case LOGIN -> setHeader(HttpHeader.WWW_AUTHENTICATE, CHALLENGE);
            case BODY_LATE, TOO_LARGE, STOPPING -> setHeader(HttpHeader.CONNECTION, "close");
            default -> {}
        }
        send(problem.kind().status(), PROBLEM_TYPE, problem.json(statementId));
    }

    /** Sends the state of a statement as JSON. */
    void sendState(int status, HttpStatement statement) {
        send(status, JSON_TYPE, stateJson(statement));
    }

    private static byte[] stateJson(HttpStatement statement) {
        ObjectNode state = MAPPER.createObjectNode();
        state.put("id", statement.id())
                .put("state", statement.result().stateName())
                .put("elapsedMs", statement.elapsedMs());
        state.put("rows", statement.rows()).put("bytes", statement.bytes());
        state.putObject("progress")
                .put("rows", statement.readRows())
                .put("bytes", statement.readBytes());
        state.put("infoUri", Route.statement(statement.id()));
        int firstPage = statement.result().firstRetainedPage();
        if (firstPage >= 0) {
            state.put("nextUri", Route.page(statement.id(), firstPage));
        }
        try {
            return MAPPER.writeValueAsBytes(state);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("statement state cannot be serialized as JSON", e);
        }
    }
}
