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

/**
 * A statement and its one final answer. Whoever is first to claim the answer writes it; after that
 * nothing is written for this statement.
 */
public final class RequestExchange implements ResponseSink {

    private static final Logger LOG = LoggerFactory.getLogger(RequestExchange.class);

    /** Time for the final answer to leave; a client that does not read it by then is cut off. */
    private static final long FINAL_MS = 2_000;

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
    private final long fromNs = System.nanoTime();
    private volatile long id;
    private boolean claimed;
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
            StatementAnalysis reading) {
        this.context = context;
        this.client = client;
        this.clientRevision = clientRevision;
        this.database = database;
        this.query = query;
        this.externalTables = externalTables;
        this.queryClass = queryClass;
        this.waitsForData = Classifier.waitsForData(reading);
        this.feed =
                Classifier.mayTakeData(reading)
                        ? new InsertFeed(
                                context.config().bounds().heldInsert(), context.insertQuota())
                        : null;
    }

    void id(long number) {
        id = number;
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

    public QueryClass queryClass() {
        return queryClass;
    }

    /** The data that the client may be asked for, or null for a statement that takes none. */
    public InsertFeed feed() {
        return feed;
    }

    /** True if the statement plainly cannot run before the end of its data. */
    boolean waitsForData() {
        return waitsForData;
    }

    void lastError(String text) {
        lastError = text;
    }

    // ---- From the core; none of these waits
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
        later(
                ResponseWriter.refused(retryAfterNs, lastError),
                StatementOutcome.REFUSED,
                retryAfterNs);
    }

    @Override
    public void fail() {
        later(ResponseWriter.failed(lastError), StatementOutcome.FAILED, 0);
    }

    @Override
    public void abortPartial(Outcome how) {
        later(ResponseWriter.broken(how), StatementOutcome.BROKEN, 0);
    }

    private void later(ServerError error, StatementOutcome how, long retryAfterNs) {
        Future<?> cut = context.timer().schedule(client::close, FINAL_MS, TimeUnit.MILLISECONDS);
        try {
            context.workers()
                    .execute(
                            () -> {
                                finish(error, how, retryAfterNs);
                                cut.cancel(false);
                            });
        } catch (RejectedExecutionException e) {
            client.close(); // the router is stopping and has no thread left
            done.countDown();
        }
    }

    // ---- Answers; these may wait for the client
    /** Writes a part of the answer, unless the final answer is out. */
    void write(ByteBuf packets) {
        synchronized (client) {
            if (!claimed) {
                send(packets);
            }
        }
    }

    /** Writes the rest of the answer, which ends it. */
    void finish(ByteBuf packets, StatementOutcome how) {
        finish(packets, how, 0);
    }

    private void finish(ByteBuf packets, StatementOutcome how, long retryAfterNs) {
        synchronized (client) {
            if (claimed) {
                return;
            }
            claimed = true;
            try {
                client.end(packets, how, retryAfterNs);
            } catch (IOException e) {
                client.close(); // its reader sees that, and tells the core
            }
        }
        ended(how);
    }

    /** Ends it with an exception. */
    void finish(ServerError error, StatementOutcome how) {
        finish(error, how, 0);
    }

    /** Ends it with an exception, which tells when to come back. */
    void finish(ServerError error, StatementOutcome how, long retryAfterNs) {
        ByteBuf packet = new ByteBuf();
        try {
            error.write(packet);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        finish(packet, how, retryAfterNs);
    }

    private void send(ByteBuf packets) {
        try {
            client.write(packets);
        } catch (IOException e) {
            client.close(); // its reader sees that, and tells the core
        }
    }

    /**
     * The columns that an engine wants the insert's data for. The client gets those of the first
     * attempt; false where another attempt's differ, since the client's data is not for them.
     */
    boolean header(ByteBuf packets, byte[] block) {
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

    /** The client called it off: it is told at once, and the core that nobody waits any more. */
    public void cancel() {
        context.core().clientGone(id);
        finish(ResponseWriter.cancelled(), StatementOutcome.CANCELLED);
    }

    /**
     * The client sent what makes no sense: that ends the statement, unless an answer is under way.
     */
    public void refuseInput(WireException failure) {
        context.core().clientGone(id);
        finish(ResponseWriter.wire(failure), StatementOutcome.BAD_INPUT);
    }

    /** The client is gone; nothing more is written. */
    public void vanished() {
        context.core().clientGone(id);
        synchronized (client) {
            if (claimed) {
                return;
            }
            claimed = true;
        }
        ended(StatementOutcome.GONE);
    }

    private void ended(StatementOutcome how) {
        if (feed != null) {
            feed.close();
        }
        done.countDown();
        if (LOG.isDebugEnabled() || how != StatementOutcome.SERVED) {
            LOG.atLevel(
                            how == StatementOutcome.SERVED
                                    ? org.slf4j.event.Level.DEBUG
                                    : org.slf4j.event.Level.INFO)
                    .addKeyValue("request", id)
                    .addKeyValue("class", queryClass.name())
                    .addKeyValue("answer", how.word())
                    .addKeyValue("ms", (System.nanoTime() - fromNs) / 1_000_000)
                    .addKeyValue("query_id", query.id())
                    .addKeyValue("client", client.peer())
                    .log("answered");
        }
    }

    /** True once the final answer is out. */
    public boolean isDone() {
        return done.getCount() == 0;
    }

    void awaitDone() throws InterruptedException {
        done.await();
    }
}
