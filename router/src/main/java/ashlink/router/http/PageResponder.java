package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import java.io.IOException;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.util.Callback;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Renders and sends pages within a memory budget. Safe for use by several threads. */
final class PageResponder {

    private static final Logger LOG = LoggerFactory.getLogger(PageResponder.class);
    private static final int STATUS_OK = 200;

    /** Estimated size of a rendered page relative to its blocks; a larger page is still sent. */
    private static final int RENDERED_SIZE_FACTOR = 3;

    private static final int RENDERED_OVERHEAD_BYTES = 1024;

    private final ListenerContext context;
    private final HttpSpec spec;
    private final MemoryQuota renderQuota;

    PageResponder(ListenerContext context, HttpSpec spec) {
        this.context = context;
        this.spec = spec;
        this.renderQuota = new MemoryQuota(spec.maxRenderBytes());
    }

    /** Sends a page, or a problem if the budget is exhausted or the page cannot be rendered. */
    void send(
            HttpExchange exchange, HttpStatement statement, PollResult page, ResultFormat format) {
        long estimatedBytes =
                Math.min(
                        (long) RENDERED_SIZE_FACTOR * page.blocks().length
                                + RENDERED_OVERHEAD_BYTES,
                        spec.maxRenderBytes() / 2);
        if (!renderQuota.reserve(estimatedBytes)) {
            exchange.sendProblem(
                    new ProblemDetail(
                            ProblemDetail.Kind.BUSY, "", StatementRegistry.RETRY_AFTER_NS, 0),
                    statement.id());
            return;
        }
        Future<?> writeTimeout = scheduleWriteTimeout(exchange);
        Callback done =
                Callback.from(
                        exchange.callback(),
                        () -> {
                            writeTimeout.cancel(false);
                            renderQuota.release(estimatedBytes);
                        });
        try {
            send(exchange, statement, page, format, done);
        } catch (IOException | RuntimeException e) {
            writeTimeout.cancel(false);
            renderQuota.release(estimatedBytes);
            LOG.atError()
                    .addKeyValue("statement", statement.id())
                    .addKeyValue("page", page.page())
                    .setCause(e)
                    .log("page rendering failed");
            exchange.sendProblem(
                    ProblemDetail.of(
                            ProblemDetail.Kind.RESULT_LOST, String.valueOf(e.getMessage())),
                    statement.id());
        }
    }

    /** Closes the connection of a client that does not read the page in time. */
    private Future<?> scheduleWriteTimeout(HttpExchange exchange) {
        Runnable closeConnection =
                () ->
                        exchange.request()
                                .getConnectionMetaData()
                                .getConnection()
                                .getEndPoint()
                                .close();
        return context.timer()
                .schedule(closeConnection, spec.bodyTimeoutNs(), TimeUnit.NANOSECONDS);
    }

    private void send(
            HttpExchange exchange,
            HttpStatement statement,
            PollResult page,
            ResultFormat format,
            Callback done)
            throws IOException {
        String nextUri = page.last() ? null : Route.page(statement.id(), page.page() + 1);
        String state = page.last() ? "finished" : statement.result().stateName();
        byte[] body =
                format.render(
                        page.blocks(),
                        page.header(),
                        page.page(),
                        new ResultFormat.PageInfo(statement.id(), state, nextUri),
                        context.limits());
        exchange.response().getHeaders().put("Ashlink-Statement", statement.id());
        exchange.response().getHeaders().put("Ashlink-State", state);
        if (nextUri != null) {
            exchange.response()
                    .getHeaders()
                    .put(new HttpField("Link", "<" + nextUri + ">; rel=\"next\""));
        }
        exchange.send(STATUS_OK, format.contentType(), body, done);
    }
}
