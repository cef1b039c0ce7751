package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.http.StatementRegistry.SubmitResult;
import ashlink.router.http.StatementSubmission.InvalidSubmissionException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Promise;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Handles the submission of statements. Safe for use by several threads. */
final class StatementSubmissionHandler {

    private static final Logger LOG = LoggerFactory.getLogger(StatementSubmissionHandler.class);
    private static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    private static final int MAX_KEY_CHARS = 255;
    private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 16;

    private final HttpSpec spec;
    private final StatementRegistry registry;
    private final Executor executor;
    private final PagePoller poller;

    /**
     * Creates a handler.
     *
     * @param executor runs the submission once the body of the request is received
     */
    StatementSubmissionHandler(
            HttpSpec spec, StatementRegistry registry, Executor executor, PagePoller poller) {
        this.spec = spec;
        this.registry = registry;
        this.executor = executor;
        this.poller = poller;
    }

    /** Reads the body without blocking, then submits the statement and polls its first page. */
    void handle(HttpExchange exchange, String user) {
        String key = exchange.request().getHeaders().get(IDEMPOTENCY_KEY);
        ResultFormat format = PagePoller.acceptedFormat(exchange);
        if (format == null) {
            return;
        }
        if (key != null && (key.isBlank() || key.length() > MAX_KEY_CHARS)) {
            exchange.sendProblem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.BAD_REQUEST,
                            "invalid Idempotency-Key: 1 to "
                                    + MAX_KEY_CHARS
                                    + " characters that are not all blank"),
                    null);
            return;
        }
        if (exchange.request().getLength() > spec.maxBodyBytes()) {
            exchange.sendProblem(bodyTooLarge(), null);
            return;
        }
        CompletableFuture<byte[]> bodyFuture = new CompletableFuture<>();
        Content.Source.asByteArrayAsync(
                exchange.request(),
                (int) Math.min(MAX_ARRAY_BYTES, spec.maxBodyBytes()),
                Promise.Invocable.toPromise(bodyFuture));
        bodyFuture
                .orTimeout(spec.bodyTimeoutNs(), TimeUnit.NANOSECONDS)
                .whenComplete(
                        (body, failure) -> {
                            if (failure == null) {
                                executor.execute(() -> submit(exchange, user, key, format, body));
                            } else {
                                exchange.sendProblem(bodyProblem(failure), null);
                            }
                        });
    }

    private ProblemDetail bodyTooLarge() {
        return ProblemDetail.of(
                ProblemDetail.Kind.TOO_LARGE,
                "the body exceeds the limit of " + spec.maxBodyBytes() + " bytes");
    }

    private ProblemDetail bodyProblem(Throwable failure) {
        boolean wrapped = failure instanceof CompletionException && failure.getCause() != null;
        Throwable cause = wrapped ? failure.getCause() : failure;
        if (cause instanceof TimeoutException) {
            return ProblemDetail.of(ProblemDetail.Kind.BODY_LATE, "");
        }
        // Jetty reports a body over the limit as an IllegalStateException.
        return cause instanceof IllegalStateException
                ? bodyTooLarge()
                : ProblemDetail.of(
                        ProblemDetail.Kind.BAD_REQUEST, "the body was not received completely");
    }

    private void submit(
            HttpExchange exchange, String user, String key, ResultFormat format, byte[] body) {
        try {
            // Validates the complete request before the statement runs.
            Map<String, String> parameters = RequestParameters.read(exchange.request());
            long waitNs = RequestParameters.waitNs(parameters, spec.maxPollWaitNs());
            StatementSubmission submission =
                    StatementSubmission.read(
                            body, exchange.header(HttpHeader.CONTENT_TYPE), parameters);
            SubmitResult result =
                    registry.submit(
                            submission, user, Request.getRemoteAddr(exchange.request()), key);
            if (result.problem() != null) {
                exchange.sendProblem(result.problem(), null);
            } else if (result.earlierEntry() != null) {
                exchange.sendProblem(
                        ProblemDetail.expired(result.earlierEntry()),
                        result.earlierEntry().statement());
            } else {
                HttpStatement statement = result.statement();
                exchange.setHeader(HttpHeader.LOCATION, Route.statement(statement.id()));
                poller.poll(exchange, statement, 0, waitNs, format);
            }
        } catch (InvalidSubmissionException e) {
            exchange.sendProblem(e.problem(), null);
        } catch (RuntimeException e) {
            LOG.error("request failed with an internal error", e);
            exchange.callback().failed(e);
        }
    }
}
