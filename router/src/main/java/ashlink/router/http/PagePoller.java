package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.frontend.ListenerContext;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpHeader;

/** Polls the results of statements and sends the responses. Safe for use by several threads. */
final class PagePoller {

    private static final int STATUS_ACCEPTED = 202;

    private final ListenerContext context;
    private final Executor executor;
    private final PageResponder pageResponder;
    private final AtomicInteger openPolls = new AtomicInteger();

    /**
     * Creates a poller.
     *
     * @param executor writes the responses of polls that had to wait
     */
    PagePoller(ListenerContext context, HttpSpec spec, Executor executor) {
        this.context = context;
        this.executor = executor;
        this.pageResponder = new PageResponder(context, spec);
    }

    /** Returns the number of polls that have no response yet. */
    int openPolls() {
        return openPolls.get();
    }

    /** Returns the response format; if none is acceptable, sends a problem and returns null. */
    static ResultFormat acceptedFormat(HttpExchange exchange) {
        ResultFormat format = ResultFormat.accepted(exchange.header(HttpHeader.ACCEPT));
        if (format == null) {
            exchange.sendProblem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.NOT_ACCEPTABLE,
                            "application/json, text/csv, application/x-ndjson"),
                    null);
        }
        return format;
    }

    /** Responds with a page, a problem, or the state if the page is not available in time. */
    void poll(
            HttpExchange exchange,
            HttpStatement statement,
            int page,
            long waitNs,
            ResultFormat format) {
        openPolls.incrementAndGet();
        statement
                .result()
                .poll(
                        page,
                        waitNs,
                        executor,
                        context.timer(),
                        result -> {
                            openPolls.decrementAndGet();
                            respond(exchange, statement, result, format);
                        });
    }

    private void respond(
            HttpExchange exchange,
            HttpStatement statement,
            PollResult result,
            ResultFormat format) {
        if (result.problem() != null) {
            exchange.sendProblem(result.problem(), statement.id());
        } else if (result.isPage()) {
            pageResponder.send(exchange, statement, result, format);
        } else {
            exchange.sendState(STATUS_ACCEPTED, statement);
        }
    }
}
