package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.http.StatementRegistry.SubmitResult;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.eclipse.jetty.util.Promise;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers requests of the API. No thread waits for a statement: an answer is written when there is
 * one.
 */
final class StatementHandler extends Handler.Abstract {

    private static final Logger LOG = LoggerFactory.getLogger(StatementHandler.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long S = 1_000_000_000L;
    private static final int MOST_KEY = 255;

    /**
     * A page of raw bytes grows so much at most while it is rendered, by rule of thumb; what is
     * over is not refused.
     */
    private static final int GROWTH = 3;

    private final ListenerContext context;
    private final HttpSpec spec;
    private final StatementRegistry registry;
    private final Executor executor;
    private final HttpAuthenticator authenticator = new HttpAuthenticator();
    private final MemoryQuota rendering;
    private final AtomicInteger openPolls = new AtomicInteger();
    private final byte[] description;

    StatementHandler(ListenerContext context, StatementRegistry registry, Executor executor)
            throws IOException {
        this.context = context;
        this.spec = context.config().http();
        this.registry = registry;
        this.executor = executor;
        this.rendering = new MemoryQuota(spec.renderBytes());
        try (InputStream in =
                StatementHandler.class.getResourceAsStream("/ashlink/router/http/openapi.json")) {
            description = in.readAllBytes();
        }
    }

    /** Askers that wait. */
    int openPolls() {
        return openPolls.get();
    }

    /** One request and the way of its answer. */
    private final class HttpExchange {
        final Request request;
        final Response response;
        final Callback callback;

        HttpExchange(Request request, Response response, Callback callback) {
            this.request = request;
            this.response = response;
            this.callback = callback;
        }

        void send(int status, String type, byte[] body) {
            response.setStatus(status);
            response.getHeaders().put(HttpHeader.CONTENT_TYPE, type);
            response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            response.write(true, ByteBuffer.wrap(body), callback);
        }

        void problem(ProblemDetail problemDetail, String statement) {
            if (problemDetail.retryAfterNs() > 0) {
                response.getHeaders()
                        .put(HttpHeader.RETRY_AFTER, Long.toString(problemDetail.retryAfterS()));
            }
            if (problemDetail.kind() == ProblemDetail.Kind.LOGIN) {
                response.getHeaders()
                        .put(
                                HttpHeader.WWW_AUTHENTICATE,
                                "Basic realm=\"ashlink\", charset=\"UTF-8\"");
            }
            if (problemDetail.kind() == ProblemDetail.Kind.BODY_LATE
                    || problemDetail.kind() == ProblemDetail.Kind.TOO_LARGE
                    || problemDetail.kind() == ProblemDetail.Kind.STOPPING) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
            send(
                    problemDetail.kind().status(),
                    "application/problem+json",
                    problemDetail.json(statement));
        }

        void state(int status, HttpStatement httpStatement) {
            send(status, "application/json", stateOf(httpStatement));
        }
    }

    // ---- Requests
    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        HttpExchange exchanged = new HttpExchange(request, response, callback);
        String path = request.getHttpURI().getCanonicalPath();
        String allowed = "";
        for (Route route : Route.values()) {
            Matcher matcher = path == null ? null : route.match(path);
            if (matcher != null && route.method().equals(request.getMethod())) {
                handle(route, matcher, exchanged);
                return true;
            } else if (matcher != null) {
                allowed += (allowed.isEmpty() ? "" : ", ") + route.method();
            }
        }
        if (allowed.isEmpty()) {
            exchanged.problem(
                    ProblemDetail.of(ProblemDetail.Kind.NOT_FOUND, "paths are in /v1/openapi.json"),
                    null);
        } else {
            response.getHeaders().put(HttpHeader.ALLOW, allowed);
            exchanged.problem(ProblemDetail.of(ProblemDetail.Kind.METHOD, allowed), null);
        }
        return true;
    }

    private void handle(Route route, Matcher matcher, HttpExchange exchanged)
            throws InterruptedException {
        if (route == Route.GET_DESCRIPTION) {
            exchanged.send(200, "application/json", description);
            return;
        }
        HttpAuthenticator.AuthenticationResult who =
                authenticator.check(
                        context.config().users(),
                        exchanged.request.getHeaders().get(HttpHeader.AUTHORIZATION));
        if (who.user() == null) {
            exchanged.problem(
                    who.busy()
                            ? new ProblemDetail(
                                    ProblemDetail.Kind.BUSY, "too many logins at once", S, 0)
                            : ProblemDetail.of(ProblemDetail.Kind.LOGIN, ""),
                    null);
            return;
        }
        switch (route) {
            case POST_STATEMENT -> post(exchanged, who.user());
            case GET_STATEMENT ->
                    withStatement(
                            exchanged,
                            matcher.group(1),
                            who.user(),
                            httpStatement -> exchanged.state(200, httpStatement));
            case DELETE_STATEMENT ->
                    withStatement(
                            exchanged,
                            matcher.group(1),
                            who.user(),
                            httpStatement -> {
                                registry.cancel(httpStatement);
                                exchanged.state(200, httpStatement);
                            });
            default ->
                    page(
                            exchanged,
                            matcher.group(1),
                            Integer.parseInt(matcher.group(2)),
                            who.user());
        }
    }

    /** Finds a statement of that user; one that is not here is told of as far as it is known. */
    private void withStatement(
            HttpExchange exchanged, String id, String user, Consumer<HttpStatement> then) {
        HttpStatement httpStatement = registry.find(id, user);
        if (httpStatement != null) {
            then.accept(httpStatement);
            return;
        }
        Entry entry = registry.findKeyEntry(id, user);
        int tilde = id.indexOf('~');
        String peer = tilde > 0 ? spec.peers().get(id.substring(0, tilde)) : null;
        if (entry != null) {
            exchanged.problem(expiredProblem(entry), id);
        } else if (peer != null && !id.substring(0, tilde).equals(context.config().name())) {
            exchanged
                    .response
                    .getHeaders()
                    .put(HttpHeader.LOCATION, peer + exchanged.request.getHttpURI().getPathQuery());
            exchanged.send(
                    307,
                    "application/json",
                    "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } else {
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_FOUND,
                            "no statement of that id is known to this router"),
                    id);
        }
    }

    private static ProblemDetail expiredProblem(Entry entry) {
        return entry.status() == Status.COMPLETED
                ? entry.outcome() == StatementOutcome.SERVED
                        ? ProblemDetail.of(
                                ProblemDetail.Kind.GONE,
                                "it was served; its result is not kept any more")
                        : ProblemDetail.of(entry.outcome(), null, 0)
                : ProblemDetail.of(ProblemDetail.Kind.FATE_UNKNOWN, "");
    }

    // ---- POST
    private void post(HttpExchange exchanged, String user) {
        String key = exchanged.request.getHeaders().get("Idempotency-Key");
        ResultFormat form =
                ResultFormat.accepted(exchanged.request.getHeaders().get(HttpHeader.ACCEPT));
        if (form == null) {
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_ACCEPTABLE,
                            "application/json, text/csv, application/x-ndjson"),
                    null);
        } else if (key != null && (key.isBlank() || key.length() > MOST_KEY)) {
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.BAD_REQUEST,
                            "an Idempotency-Key has 1 to " + MOST_KEY + " characters"),
                    null);
        } else if (exchanged.request.getLength() > spec.bodyBytes()) {
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.TOO_LARGE,
                            "the limit is " + spec.bodyBytes() + " bytes"),
                    null);
        } else {
            CompletableFuture<byte[]> whole = new CompletableFuture<>();
            Content.Source.asByteArrayAsync(
                    exchanged.request,
                    (int) Math.min(Integer.MAX_VALUE - 16, spec.bodyBytes()),
                    Promise.Invocable.toPromise(whole));
            whole.orTimeout(spec.bodyNs(), TimeUnit.NANOSECONDS)
                    .whenComplete(
                            (body, failure) -> {
                                if (failure == null) {
                                    executor.execute(
                                            () -> posted(exchanged, user, key, form, body));
                                } else {
                                    Throwable cause =
                                            failure instanceof CompletionException
                                                            && failure.getCause() != null
                                                    ? failure.getCause()
                                                    : failure;
                                    exchanged.problem(
                                            cause instanceof TimeoutException
                                                    ? ProblemDetail.of(
                                                            ProblemDetail.Kind.BODY_LATE, "")
                                                    : cause instanceof IllegalStateException
                                                            ? ProblemDetail.of(
                                                                    ProblemDetail.Kind.TOO_LARGE,
                                                                    "the limit is "
                                                                            + spec.bodyBytes()
                                                                            + " bytes")
                                                            : ProblemDetail.of(
                                                                    ProblemDetail.Kind.BAD_REQUEST,
                                                                    "the body broke off"),
                                            null);
                                }
                            });
        }
    }

    private void posted(
            HttpExchange exchanged, String user, String key, ResultFormat form, byte[] body) {
        try {
            Map<String, String> parameters = parameters(exchanged.request);
            long waitNs =
                    waitNs(
                            parameters.get(
                                    "wait")); // all that can be wrong is found before anything runs
            StatementSubmission statementSubmission =
                    StatementSubmission.read(
                            body,
                            exchanged.request.getHeaders().get(HttpHeader.CONTENT_TYPE),
                            parameters);
            SubmitResult taken =
                    registry.submit(
                            statementSubmission,
                            user,
                            Request.getRemoteAddr(exchanged.request),
                            key);
            if (taken.problem() != null) {
                exchanged.problem(taken.problem(), null);
            } else if (taken.earlier() != null) {
                exchanged.problem(expiredProblem(taken.earlier()), taken.earlier().statement());
            } else {
                HttpStatement httpStatement = taken.statement();
                exchanged
                        .response
                        .getHeaders()
                        .put(HttpHeader.LOCATION, "/v1/statements/" + httpStatement.id());
                poll(exchanged, httpStatement, 0, waitNs, form);
            }
        } catch (StatementSubmission.InvalidSubmissionException e) {
            exchanged.problem(e.problem(), null);
        } catch (RuntimeException e) {
            LOG.error("a request ends by an error of this router", e);
            exchanged.callback.failed(e);
        }
    }

    private static Map<String, String> parameters(Request request)
            throws StatementSubmission.InvalidSubmissionException {
        Map<String, String> parameters = new LinkedHashMap<>();
        try {
            for (Fields.Field field : Request.extractQueryParameters(request)) {
                parameters.put(field.getName(), field.getValue());
            }
        } catch (RuntimeException e) {
            throw new StatementSubmission.InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the parameters of the URI make no sense");
        }
        return parameters;
    }

    // ---- Pages
    private void page(HttpExchange exchanged, String id, int page, String user) {
        ResultFormat form =
                ResultFormat.accepted(exchanged.request.getHeaders().get(HttpHeader.ACCEPT));
        if (form == null) {
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_ACCEPTABLE,
                            "application/json, text/csv, application/x-ndjson"),
                    null);
        } else {
            try {
                long waitNs = waitNs(parameters(exchanged.request).get("wait"));
                withStatement(
                        exchanged,
                        id,
                        user,
                        httpStatement -> poll(exchanged, httpStatement, page, waitNs, form));
            } catch (StatementSubmission.InvalidSubmissionException e) {
                exchanged.problem(e.problem(), id);
            }
        }
    }

    private void poll(
            HttpExchange exchanged,
            HttpStatement httpStatement,
            int page,
            long waitNs,
            ResultFormat form) {
        openPolls.incrementAndGet();
        httpStatement
                .result()
                .poll(
                        page,
                        waitNs,
                        executor,
                        context.timer(),
                        told -> {
                            openPolls.decrementAndGet();
                            if (told.problem() != null) {
                                exchanged.problem(told.problem(), httpStatement.id());
                            } else if (!told.isPage()) {
                                exchanged.state(202, httpStatement);
                            } else {
                                render(exchanged, httpStatement, told, form);
                            }
                        });
    }

    private long waitNs(String text) throws StatementSubmission.InvalidSubmissionException {
        if (text == null) {
            return 0;
        }
        try {
            double seconds = Double.parseDouble(text);
            if (seconds >= 0) {
                return (long) Math.min(spec.longestWaitNs(), seconds * S);
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new StatementSubmission.InvalidSubmissionException(
                ProblemDetail.Kind.BAD_REQUEST, "wait is a number of seconds, such as 0.5");
    }

    private void render(
            HttpExchange exchanged,
            HttpStatement httpStatement,
            PollResult told,
            ResultFormat form) {
        long room = Math.min((long) GROWTH * told.blocks().length + 1024, spec.renderBytes() / 2);
        if (!rendering.take(room)) {
            exchanged.problem(
                    new ProblemDetail(ProblemDetail.Kind.BUSY, "", S, 0), httpStatement.id());
            return;
        }
        Future<?> cut =
                context.timer()
                        .schedule(
                                () ->
                                        exchanged
                                                .request
                                                .getConnectionMetaData()
                                                .getConnection()
                                                .getEndPoint()
                                                .close(),
                                spec.bodyNs(),
                                TimeUnit.NANOSECONDS);
        Callback done =
                Callback.from(
                        exchanged.callback,
                        () -> {
                            cut.cancel(false); // a client that reads slower than that is cut off
                            rendering.give(room);
                        });
        try {
            String next = told.last() ? null : Route.page(httpStatement.id(), told.page() + 1);
            String state = told.last() ? "finished" : httpStatement.result().stateName();
            byte[] body =
                    form.render(
                            told.blocks(),
                            told.header(),
                            told.page(),
                            new ResultFormat.PageInfo(httpStatement.id(), state, next),
                            context.limits());
            exchanged.response.getHeaders().put("Ashlink-Statement", httpStatement.id());
            exchanged.response.getHeaders().put("Ashlink-State", state);
            if (next != null) {
                exchanged
                        .response
                        .getHeaders()
                        .put(new HttpField("Link", "<" + next + ">; rel=\"next\""));
            }
            exchanged.response.setStatus(200);
            exchanged
                    .response
                    .getHeaders()
                    .put(
                            HttpHeader.CONTENT_TYPE,
                            form.type() + (form == ResultFormat.CSV ? "; charset=utf-8" : ""));
            exchanged.response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            exchanged.response.write(true, ByteBuffer.wrap(body), done);
        } catch (IOException | RuntimeException e) {
            cut.cancel(false);
            rendering.give(room);
            LOG.error(
                    "page {} of statement {} could not be rendered",
                    told.page(),
                    httpStatement.id(),
                    e);
            exchanged.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.RESULT_LOST, String.valueOf(e.getMessage())),
                    httpStatement.id());
        }
    }

    private static byte[] stateOf(HttpStatement httpStatement) {
        ObjectNode objectNode = JSON.createObjectNode();
        objectNode
                .put("id", httpStatement.id())
                .put("state", httpStatement.result().stateName())
                .put("elapsedMs", httpStatement.elapsedMs());
        objectNode.put("rows", httpStatement.rows()).put("bytes", httpStatement.bytes());
        objectNode
                .putObject("progress")
                .put("rows", httpStatement.readRows())
                .put("bytes", httpStatement.readBytes());
        objectNode.put("infoUri", "/v1/statements/" + httpStatement.id());
        int first = httpStatement.result().firstRetainedPage();
        if (first >= 0) {
            objectNode.put("nextUri", Route.page(httpStatement.id(), first));
        }
        try {
            return JSON.writeValueAsBytes(objectNode);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
