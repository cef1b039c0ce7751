package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.http.StatementSubmission.InvalidSubmissionException;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Handles the requests of the HTTP API. No thread waits for a statement: the response to a poll is
 * written once the requested page is available.
 */
final class StatementHandler extends Handler.Abstract {

    private static final String OPENAPI_RESOURCE = "/ashlink/router/http/openapi.json";
    private static final int STATUS_OK = 200;
    private static final int STATUS_TEMPORARY_REDIRECT = 307;

    private final ListenerContext context;
    private final HttpSpec spec;
    private final StatementRegistry registry;
    private final HttpAuthenticator authenticator = new HttpAuthenticator();
    private final PagePoller poller;
    private final StatementSubmissionHandler submissionHandler;
    private final byte[] openApiDocument;

    StatementHandler(ListenerContext context, StatementRegistry registry, Executor executor)
            throws IOException {
        this.context = context;
        this.spec = context.config().http();
        this.registry = registry;
        this.poller = new PagePoller(context, spec, executor);
        this.submissionHandler = new StatementSubmissionHandler(spec, registry, executor, poller);
        try (InputStream in = StatementHandler.class.getResourceAsStream(OPENAPI_RESOURCE)) {
            openApiDocument = in.readAllBytes();
        }
    }

    /** Returns the number of polls that have no response yet. */
    int openPolls() {
        return poller.openPolls();
    }

    // Routing

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        HttpExchange exchange = new HttpExchange(request, response, callback);
        String path = request.getHttpURI().getCanonicalPath();
        String allowedMethods = "";
        for (Route route : Route.values()) {
            Matcher matcher = path == null ? null : route.match(path);
            if (matcher != null && route.method().equals(request.getMethod())) {
                handle(route, matcher, exchange);
                return true;
            } else if (matcher != null) {
                allowedMethods += (allowedMethods.isEmpty() ? "" : ", ") + route.method();
            }
        }
        if (allowedMethods.isEmpty()) {
            exchange.sendProblem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_FOUND,
                            "unknown path; /v1/openapi.json describes the paths"),
                    null);
        } else {
            exchange.setHeader(HttpHeader.ALLOW, allowedMethods);
            exchange.sendProblem(ProblemDetail.of(ProblemDetail.Kind.METHOD, allowedMethods), null);
        }
        return true;
    }

    private void handle(Route route, Matcher matcher, HttpExchange exchange)
            throws InterruptedException {
        if (route == Route.GET_DESCRIPTION) {
            exchange.send(STATUS_OK, HttpExchange.JSON_TYPE, openApiDocument);
            return;
        }
        String user = authenticate(exchange);
        if (user == null) {
            return;
        }
        switch (route) {
            case POST_STATEMENT -> submissionHandler.handle(exchange, user);
            case GET_STATEMENT ->
                    withStatement(
                            exchange,
                            matcher.group(1),
                            user,
                            statement -> exchange.sendState(STATUS_OK, statement));
            case DELETE_STATEMENT ->
                    withStatement(
                            exchange,
                            matcher.group(1),
                            user,
                            statement -> {
                                registry.cancel(statement);
                                exchange.sendState(STATUS_OK, statement);
                            });
            default ->
                    handlePage(
                            exchange, matcher.group(1), Integer.parseInt(matcher.group(2)), user);
        }
    }

    /** Returns the user; if the authentication fails, sends a problem and returns null. */
    private String authenticate(HttpExchange exchange) throws InterruptedException {
        HttpAuthenticator.AuthenticationResult result =
                authenticator.check(
                        context.config().users(), exchange.header(HttpHeader.AUTHORIZATION));
        if (result.user() == null) {
            ProblemDetail problem =
                    result.busy()
                            ? new ProblemDetail(
                                    ProblemDetail.Kind.BUSY,
                                    "too many concurrent password checks",
                                    StatementRegistry.RETRY_AFTER_NS,
                                    0)
                            : ProblemDetail.of(ProblemDetail.Kind.LOGIN, "");
            exchange.sendProblem(problem, null);
        }
        return result.user();
    }

    /** Calls the action with a user's statement, or responds that it is not available here. */
    private void withStatement(
            HttpExchange exchange, String id, String user, Consumer<HttpStatement> action) {
        HttpStatement statement = registry.find(id, user);
        if (statement != null) {
            action.accept(statement);
            return;
        }
        Entry entry = registry.findKeyEntry(id, user);
        String peerUri = peerUri(id);
        if (entry != null) {
            exchange.sendProblem(ProblemDetail.expired(entry), id);
        } else if (peerUri != null) {
            exchange.setHeader(
                    HttpHeader.LOCATION, peerUri + exchange.request().getHttpURI().getPathQuery());
            exchange.send(
                    STATUS_TEMPORARY_REDIRECT,
                    HttpExchange.JSON_TYPE,
                    "{}".getBytes(StandardCharsets.UTF_8));
        } else {
            exchange.sendProblem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_FOUND,
                            "no statement with this id is known to this router"),
                    id);
        }
    }

    /** Returns the URI of the peer router that a statement belongs to, or null. */
    private String peerUri(String statementId) {
        String router = StatementRegistry.routerOf(statementId);
        return router == null || router.equals(context.config().name())
                ? null
                : spec.peers().get(router);
    }

    // Pages

    private void handlePage(HttpExchange exchange, String id, int page, String user) {
        ResultFormat format = PagePoller.acceptedFormat(exchange);
        if (format == null) {
            return;
        }
        try {
            Map<String, String> parameters = RequestParameters.read(exchange.request());
            long waitNs = RequestParameters.waitNs(parameters, spec.maxPollWaitNs());
            withStatement(
                    exchange,
                    id,
                    user,
                    statement -> poller.poll(exchange, statement, page, waitNs, format));
        } catch (InvalidSubmissionException e) {
            exchange.sendProblem(e.problem(), id);
        }
    }
}
