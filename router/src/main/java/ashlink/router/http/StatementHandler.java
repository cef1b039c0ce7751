package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.http.HttpStatement.Told;
import ashlink.router.http.StatementRegistry.Taken;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Fate;
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
    private final HttpAuthenticator login = new HttpAuthenticator();
    private final MemoryQuota rendering;
    private final AtomicInteger polling = new AtomicInteger();
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
    int polling() {
        return polling.get();
    }

    /** One request and the way of its answer. */
    private final class Exchanged {
        final Request request;
        final Response response;
        final Callback callback;

        Exchanged(Request request, Response response, Callback callback) {
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

        void problem(ProblemDetail p, String statement) {
            if (p.retryAfterNs() > 0) {
                response.getHeaders().put(HttpHeader.RETRY_AFTER, Long.toString(p.retryAfterS()));
            }
            if (p.kind() == ProblemDetail.Kind.LOGIN) {
                response.getHeaders()
                        .put(
                                HttpHeader.WWW_AUTHENTICATE,
                                "Basic realm=\"ashlink\", charset=\"UTF-8\"");
            }
            if (p.kind() == ProblemDetail.Kind.BODY_LATE
                    || p.kind() == ProblemDetail.Kind.TOO_LARGE
                    || p.kind() == ProblemDetail.Kind.STOPPING) {
                response.getHeaders().put(HttpHeader.CONNECTION, "close");
            }
            send(p.kind().status(), "application/problem+json", p.json(statement));
        }

        void state(int status, HttpStatement s) {
            send(status, "application/json", stateOf(s));
        }
    }

    // ---- Requests
    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        Exchanged x = new Exchanged(request, response, callback);
        String path = request.getHttpURI().getCanonicalPath();
        String allowed = "";
        for (Route r : Route.values()) {
            Matcher m = path == null ? null : r.match(path);
            if (m != null && r.method().equals(request.getMethod())) {
                handle(r, m, x);
                return true;
            } else if (m != null) {
                allowed += (allowed.isEmpty() ? "" : ", ") + r.method();
            }
        }
        if (allowed.isEmpty()) {
            x.problem(
                    ProblemDetail.of(ProblemDetail.Kind.NOT_FOUND, "paths are in /v1/openapi.json"),
                    null);
        } else {
            response.getHeaders().put(HttpHeader.ALLOW, allowed);
            x.problem(ProblemDetail.of(ProblemDetail.Kind.METHOD, allowed), null);
        }
        return true;
    }

    private void handle(Route route, Matcher m, Exchanged x) throws InterruptedException {
        if (route == Route.GET_DESCRIPTION) {
            x.send(200, "application/json", description);
            return;
        }
        HttpAuthenticator.AuthenticationResult who =
                login.check(
                        context.config().users(),
                        x.request.getHeaders().get(HttpHeader.AUTHORIZATION));
        if (who.user() == null) {
            x.problem(
                    who.busy()
                            ? new ProblemDetail(
                                    ProblemDetail.Kind.BUSY, "too many logins at once", S, 0)
                            : ProblemDetail.of(ProblemDetail.Kind.LOGIN, ""),
                    null);
            return;
        }
        switch (route) {
            case POST_STATEMENT -> post(x, who.user());
            case GET_STATEMENT -> withStatement(x, m.group(1), who.user(), s -> x.state(200, s));
            case DELETE_STATEMENT ->
                    withStatement(
                            x,
                            m.group(1),
                            who.user(),
                            s -> {
                                registry.cancel(s);
                                x.state(200, s);
                            });
            default -> page(x, m.group(1), Integer.parseInt(m.group(2)), who.user());
        }
    }

    /** Finds a statement of that user; one that is not here is told of as far as it is known. */
    private void withStatement(Exchanged x, String id, String user, Consumer<HttpStatement> then) {
        HttpStatement s = registry.find(id, user);
        if (s != null) {
            then.accept(s);
            return;
        }
        Entry e = registry.remembered(id, user);
        int tilde = id.indexOf('~');
        String peer = tilde > 0 ? spec.peers().get(id.substring(0, tilde)) : null;
        if (e != null) {
            x.problem(remembered(e), id);
        } else if (peer != null && !id.substring(0, tilde).equals(context.config().name())) {
            x.response
                    .getHeaders()
                    .put(HttpHeader.LOCATION, peer + x.request.getHttpURI().getPathQuery());
            x.send(307, "application/json", "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8));
        } else {
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_FOUND,
                            "no statement of that id is known to this router"),
                    id);
        }
    }

    private static ProblemDetail remembered(Entry e) {
        return e.fate() == Fate.ANSWERED
                ? e.ending() == StatementOutcome.SERVED
                        ? ProblemDetail.of(
                                ProblemDetail.Kind.GONE,
                                "it was served; its result is not kept any more")
                        : ProblemDetail.of(e.ending(), null, 0)
                : ProblemDetail.of(ProblemDetail.Kind.FATE_UNKNOWN, "");
    }

    // ---- POST
    private void post(Exchanged x, String user) {
        String key = x.request.getHeaders().get("Idempotency-Key");
        ResultFormat form = ResultFormat.accepted(x.request.getHeaders().get(HttpHeader.ACCEPT));
        if (form == null) {
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_ACCEPTABLE,
                            "application/json, text/csv, application/x-ndjson"),
                    null);
        } else if (key != null && (key.isBlank() || key.length() > MOST_KEY)) {
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.BAD_REQUEST,
                            "an Idempotency-Key has 1 to " + MOST_KEY + " characters"),
                    null);
        } else if (x.request.getLength() > spec.bodyBytes()) {
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.TOO_LARGE,
                            "the limit is " + spec.bodyBytes() + " bytes"),
                    null);
        } else {
            CompletableFuture<byte[]> whole = new CompletableFuture<>();
            Content.Source.asByteArrayAsync(
                    x.request,
                    (int) Math.min(Integer.MAX_VALUE - 16, spec.bodyBytes()),
                    Promise.Invocable.toPromise(whole));
            whole.orTimeout(spec.bodyNs(), TimeUnit.NANOSECONDS)
                    .whenComplete(
                            (body, e) -> {
                                if (e == null) {
                                    executor.execute(() -> posted(x, user, key, form, body));
                                } else {
                                    Throwable cause =
                                            e instanceof CompletionException && e.getCause() != null
                                                    ? e.getCause()
                                                    : e;
                                    x.problem(
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

    private void posted(Exchanged x, String user, String key, ResultFormat form, byte[] body) {
        try {
            Map<String, String> parameters = parameters(x.request);
            long waitNs =
                    waitNs(
                            parameters.get(
                                    "wait")); // all that can be wrong is found before anything runs
            StatementSubmission p =
                    StatementSubmission.read(
                            body, x.request.getHeaders().get(HttpHeader.CONTENT_TYPE), parameters);
            Taken taken = registry.take(p, user, Request.getRemoteAddr(x.request), key);
            if (taken.problem() != null) {
                x.problem(taken.problem(), null);
            } else if (taken.earlier() != null) {
                x.problem(remembered(taken.earlier()), taken.earlier().statement());
            } else {
                HttpStatement s = taken.statement();
                x.response.getHeaders().put(HttpHeader.LOCATION, "/v1/statements/" + s.id());
                ask(x, s, 0, waitNs, form);
            }
        } catch (StatementSubmission.InvalidSubmissionException e) {
            x.problem(e.problem(), null);
        } catch (RuntimeException e) {
            LOG.error("a request ends by an error of this router", e);
            x.callback.failed(e);
        }
    }

    private static Map<String, String> parameters(Request request)
            throws StatementSubmission.InvalidSubmissionException {
        Map<String, String> parameters = new LinkedHashMap<>();
        try {
            for (Fields.Field f : Request.extractQueryParameters(request)) {
                parameters.put(f.getName(), f.getValue());
            }
        } catch (RuntimeException e) {
            throw new StatementSubmission.InvalidSubmissionException(
                    ProblemDetail.Kind.BAD_REQUEST, "the parameters of the URI make no sense");
        }
        return parameters;
    }

    // ---- Pages
    private void page(Exchanged x, String id, int page, String user) {
        ResultFormat form = ResultFormat.accepted(x.request.getHeaders().get(HttpHeader.ACCEPT));
        if (form == null) {
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_ACCEPTABLE,
                            "application/json, text/csv, application/x-ndjson"),
                    null);
        } else {
            try {
                long waitNs = waitNs(parameters(x.request).get("wait"));
                withStatement(x, id, user, s -> ask(x, s, page, waitNs, form));
            } catch (StatementSubmission.InvalidSubmissionException e) {
                x.problem(e.problem(), id);
            }
        }
    }

    private void ask(Exchanged x, HttpStatement s, int page, long waitNs, ResultFormat form) {
        polling.incrementAndGet();
        s.ask(
                page,
                waitNs,
                executor,
                context.timer(),
                told -> {
                    polling.decrementAndGet();
                    if (told.problem() != null) {
                        x.problem(told.problem(), s.id());
                    } else if (!told.isPage()) {
                        x.state(202, s);
                    } else {
                        render(x, s, told, form);
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

    private void render(Exchanged x, HttpStatement s, Told told, ResultFormat form) {
        long room = Math.min((long) GROWTH * told.blocks().length + 1024, spec.renderBytes() / 2);
        if (!rendering.take(room)) {
            x.problem(new ProblemDetail(ProblemDetail.Kind.BUSY, "", S, 0), s.id());
            return;
        }
        Future<?> cut =
                context.timer()
                        .schedule(
                                () ->
                                        x.request
                                                .getConnectionMetaData()
                                                .getConnection()
                                                .getEndPoint()
                                                .close(),
                                spec.bodyNs(),
                                TimeUnit.NANOSECONDS);
        Callback done =
                Callback.from(
                        x.callback,
                        () -> {
                            cut.cancel(false); // a client that reads slower than that is cut off
                            rendering.give(room);
                        });
        try {
            String next = told.last() ? null : Route.page(s.id(), told.page() + 1);
            String state = told.last() ? "finished" : s.word();
            byte[] body =
                    form.render(
                            told.blocks(),
                            told.header(),
                            told.page(),
                            new ResultFormat.Around(s.id(), state, next),
                            context.limits());
            x.response.getHeaders().put("Ashlink-Statement", s.id());
            x.response.getHeaders().put("Ashlink-State", state);
            if (next != null) {
                x.response.getHeaders().put(new HttpField("Link", "<" + next + ">; rel=\"next\""));
            }
            x.response.setStatus(200);
            x.response
                    .getHeaders()
                    .put(
                            HttpHeader.CONTENT_TYPE,
                            form.type() + (form == ResultFormat.CSV ? "; charset=utf-8" : ""));
            x.response.getHeaders().put(HttpHeader.CACHE_CONTROL, "no-store");
            x.response.write(true, ByteBuffer.wrap(body), done);
        } catch (IOException | RuntimeException e) {
            cut.cancel(false);
            rendering.give(room);
            LOG.error("page {} of statement {} could not be rendered", told.page(), s.id(), e);
            x.problem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.RESULT_LOST, String.valueOf(e.getMessage())),
                    s.id());
        }
    }

    private static byte[] stateOf(HttpStatement s) {
        ObjectNode n = JSON.createObjectNode();
        n.put("id", s.id()).put("state", s.word()).put("elapsedMs", s.elapsedMs());
        n.put("rows", s.rows()).put("bytes", s.bytes());
        n.putObject("progress").put("rows", s.readRows()).put("bytes", s.readBytes());
        n.put("infoUri", "/v1/statements/" + s.id());
        int first = s.firstPage();
        if (first >= 0) {
            n.put("nextUri", Route.page(s.id(), first));
        }
        try {
            return JSON.writeValueAsBytes(n);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
