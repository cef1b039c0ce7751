package ashlink.router.frontend;

import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.router.classify.Classifier;
import ashlink.router.core.Attempt;
import ashlink.router.core.AttemptEndReason;
import ashlink.router.core.ResponseSink;
import ashlink.router.core.StatementOutcome;
import ashlink.sql.StatementAnalysis;
import ashlink.wire.ByteBuf;
import ashlink.wire.QueryPacket;
import ashlink.wire.ServerError;
import ashlink.wire.WireException;
import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * A statement and its final response. Several threads may try to respond: the thread of the client,
 * the decision thread and the worker of an attempt. The first thread claims the response and writes
 * it; nothing is written for the statement afterwards. Thread-safe.
 */
public final class RequestExchange implements ResponseSink {

    private static final Logger LOG = LoggerFactory.getLogger(RequestExchange.class);

    /** Maximum time until the client has read the final response; then the client is closed. */
    private static final long FINAL_WRITE_TIMEOUT_MS = 2_000;

    private final ListenerContext context;
    private final ResponseChannel client;
    private final int clientRevision;
    private final String database;
    private final QueryPacket query;
    private final byte[] externalTables;
    private final QueryClass queryClass;
    private final InsertFeed feed;
    private final boolean waitsForData;
    private final CountDownLatch done = new CountDownLatch(1);
    private final long startNs = System.nanoTime();
    private volatile long id;

    /** Whether a thread has claimed the response. Guarded by {@link #client}. */
    private boolean claimed;

    /** Columns that the first engine sent for an insert. Guarded by {@link #client}. */
    private byte[] header;

    private volatile String lastError = "";

    RequestExchange(
            ListenerContext context,
            ResponseChannel client,
            int clientRevision,
            String database,
            QueryPacket query,
            byte[] externalTables,
            QueryClass queryClass,
            StatementAnalysis analysis) {
        this.context = context;
        this.client = client;
        this.clientRevision = clientRevision;
        this.database = database;
        this.query = query;
        this.externalTables = externalTables;
        this.queryClass = queryClass;
        this.waitsForData = Classifier.waitsForData(analysis);
        this.feed =
                Classifier.mayTakeData(analysis)
                        ? new InsertFeed(
                                context.config().resourceLimits().insertBufferBytes(),
                                context.insertQuota())
                        : null;
    }

    void setId(long newId) {
        id = newId;
    }

    QueryPacket query() {
        return query;
    }

    byte[] externalTables() {
        return externalTables;
    }

    int clientRevision() {
        return clientRevision;
    }

    String database() {
        return database;
    }

    /** Returns the class of the statement. */
    public QueryClass queryClass() {
        return queryClass;
    }

    /** Returns the data of the insert, or null for a statement that takes no data. */
    public InsertFeed feed() {
        return feed;
    }

    /** Returns whether the engine executes the statement only after the end of its data. */
    boolean waitsForData() {
        return waitsForData;
    }

    /** Stores the error of an attempt for the message of a final error response. */
    void recordError(String message) {
        lastError = message;
    }

    // Called by the core; these methods do not block

    @Override
    public void start(Attempt attempt) {
        try {
            context.workers().execute(new NativeAttempt(context, this, attempt));
        } catch (RejectedExecutionException e) {
            attempt.end(AttemptEndReason.NO_CAPACITY, Attempt.AttemptReport.NONE);
        }
    }

    @Override
    public void reject(long retryAfterNs) {
        finishOnWorker(
                ClientErrors.rejected(retryAfterNs, lastError),
                StatementOutcome.REJECTED,
                retryAfterNs);
    }

    @Override
    public void fail() {
        finishOnWorker(ClientErrors.failed(lastError), StatementOutcome.FAILED, 0);
    }

    @Override
    public void abortPartial(Outcome outcome) {
        finishOnWorker(ClientErrors.interrupted(outcome), StatementOutcome.INCOMPLETE, 0);
    }

    private void finishOnWorker(ServerError error, StatementOutcome outcome, long retryAfterNs) {
        Future<?> writeTimeout =
                context.timer()
                        .schedule(client::close, FINAL_WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        try {
            context.workers()
                    .execute(
                            () -> {
                                finish(error, outcome, retryAfterNs);
                                writeTimeout.cancel(false);
                            });
        } catch (RejectedExecutionException e) {
            // The router is shutting down and no worker is available.
            client.close();
            done.countDown();
        }
    }

    // Writes of responses; these methods may block until the client reads

    /** Writes a part of the response, unless the final response is claimed. */
    void write(ByteBuf packets) {
        synchronized (client) {
            if (!claimed) {
                send(packets);
            }
        }
    }

    /** Writes the last part of the response, unless the final response is claimed. */
    void finish(ByteBuf packets, StatementOutcome outcome) {
        finish(packets, outcome, 0);
    }

    private void finish(ByteBuf packets, StatementOutcome outcome, long retryAfterNs) {
        synchronized (client) {
            if (claimed) {
                return;
            }
            claimed = true;
            try {
                client.end(packets, outcome, retryAfterNs);
            } catch (IOException e) {
                // The thread that reads from the client detects the close and cancels the request.
                client.close();
            }
        }
        complete(outcome);
    }

    /** Writes an error as the final response, unless the final response is claimed. */
    void finish(ServerError error, StatementOutcome outcome) {
        finish(error, outcome, 0);
    }

    /** Writes an error as the final response; a {@code retryAfterNs} of 0 gives no retry time. */
    void finish(ServerError error, StatementOutcome outcome, long retryAfterNs) {
        ByteBuf packet = new ByteBuf();
        try {
            error.write(packet);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode an error into an unlimited buffer", e);
        }
        finish(packet, outcome, retryAfterNs);
    }

    private void send(ByteBuf packets) {
        try {
            client.write(packets);
        } catch (IOException e) {
            // The thread that reads from the client detects the close and cancels the request.
            client.close();
        }
    }

    /**
     * Handles the columns that an engine expects in the data of an insert. The columns of the first
     * attempt are sent to the client. Returns false if those of a later attempt differ, because the
     * data of the client does not match them.
     */
    boolean acceptHeader(ByteBuf packets, byte[] block) {
        synchronized (client) {
            if (header == null) {
                header = block;
                if (!claimed) {
                    send(packets);
                }
                return true;
            }
        }
        return Arrays.equals(header, block);
    }

    /** Handles a cancellation by the client: responds immediately and informs the core. */
    public void cancel() {
        context.core().clientDisconnected(id);
        finish(ClientErrors.cancelled(), StatementOutcome.CANCELLED);
    }

    /** Handles a protocol violation: ends the statement, unless the response is claimed. */
    public void rejectInput(WireException failure) {
        context.core().clientDisconnected(id);
        finish(ClientErrors.protocolViolation(failure), StatementOutcome.PROTOCOL_VIOLATION);
    }

    /** Handles the disconnect of the client; nothing more is written. */
    public void clientDisconnected() {
        context.core().clientDisconnected(id);
        synchronized (client) {
            if (claimed) {
                return;
            }
            claimed = true;
        }
        complete(StatementOutcome.CLIENT_DISCONNECTED);
    }

    private void complete(StatementOutcome outcome) {
        if (feed != null) {
            feed.close();
        }
        done.countDown();
        Level level = outcome == StatementOutcome.SERVED ? Level.DEBUG : Level.INFO;
        if (!LOG.isEnabledForLevel(level)) {
            return;
        }
        LOG.atLevel(level)
                .addKeyValue("request", id)
                .addKeyValue("class", queryClass.name())
                .addKeyValue("answer", outcome.label())
                .addKeyValue(
                        "durationMs", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNs))
                .addKeyValue("query_id", query.id())
                .addKeyValue("client", client.peer())
                .log("statement completed");
    }

    /** Returns whether the statement has its final response. */
    public boolean isDone() {
        return done.getCount() == 0;
    }

    void awaitDone() throws InterruptedException {
        done.await();
    }
}
