package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.router.core.Attempt.AttemptReport;
import ashlink.router.core.AttemptEndReason;
import ashlink.router.core.AttemptPhase;
import ashlink.router.core.StatementOutcome;
import ashlink.router.upstream.NativeConnectionPool;
import ashlink.router.upstream.NativeEngineConnection;
import ashlink.wire.ByteBuf;
import ashlink.wire.WireException;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executes one attempt on a worker thread: connects to the engine, sends the query, and has an
 * {@link EngineResponseRelay} relay the response. Ends the attempt exactly once.
 */
final class NativeAttempt implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(NativeAttempt.class);

    private final ListenerContext context;
    private final RequestExchange exchange;
    private final Attempt attempt;
    private final ConnectionLease lease;
    private final EngineResponseRelay relay;

    NativeAttempt(ListenerContext context, RequestExchange exchange, Attempt attempt) {
        this.context = context;
        this.exchange = exchange;
        this.attempt = attempt;
        this.lease = new ConnectionLease(context.engines());
        this.relay = new EngineResponseRelay(context, exchange, attempt, lease);
    }

    @Override
    public void run() {
        AttemptEndReason reason = AttemptEndReason.CONNECTION_BROKEN;
        try {
            reason = execute();
        } catch (NativeConnectionPool.ExhaustedException | InterruptedException e) {
            reason = AttemptEndReason.NO_CAPACITY;
        } catch (WireException e) {
            reason = handleProtocolError(e);
        } catch (IOException e) {
            reason =
                    lease.isActive()
                            ? AttemptEndReason.CONNECTION_BROKEN
                            : AttemptEndReason.CONNECT_FAILED;
            exchange.recordError(attempt.engine() + ": " + e.getMessage());
        } catch (RuntimeException e) {
            LOG.atError()
                    .addKeyValue("request", attempt.id())
                    .addKeyValue("attempt", attempt.attemptNumber())
                    .setCause(e)
                    .log("attempt failed with an internal error");
        } finally {
            relay.close();
            if (lease.isActive()) {
                // Nothing was written to the connection of a draining engine, so it is reusable.
                lease.release(reason == AttemptEndReason.ENGINE_DRAINING);
            }
            if (reason != null) {
                attempt.end(reason, AttemptReport.NONE);
            }
        }
    }

    /**
     * Handles bytes of the engine that violate the protocol or a limit. A value that the router
     * cannot relay fails on every engine, so the statement fails without a retry.
     *
     * @return reason for the end of the attempt, or null if the attempt has already ended
     */
    private AttemptEndReason handleProtocolError(WireException failure) {
        exchange.recordError(attempt.engine() + ": " + failure.getMessage());
        boolean failsEverywhere =
                failure.reason() == WireException.Reason.UNKNOWN_TYPE
                        || failure.reason() == WireException.Reason.TOO_LARGE;
        if (failsEverywhere
                && !relay.isCommitted()
                && attempt.phase() == AttemptPhase.RUNNING
                && attempt.end(AttemptEndReason.STATEMENT_ERROR, AttemptReport.NONE)) {
            exchange.finish(ClientErrors.protocolViolation(failure), StatementOutcome.ERROR);
            return null;
        }
        return AttemptEndReason.CONNECTION_BROKEN;
    }

    /**
     * Runs the attempt; returns the reason for its end, or null if the attempt has already ended.
     */
    private AttemptEndReason execute() throws IOException, InterruptedException {
        InsertFeed feed = exchange.feed();
        if (feed != null && !feed.rewind()) {
            return AttemptEndReason.NO_CAPACITY;
        }
        if (!attempt.advance(AttemptPhase.CONNECTING)) {
            return AttemptEndReason.CANCELLED;
        }
        NativeEngineConnection connection = lease.acquire(attempt.engine(), exchange.database());
        attempt.onAbort(() -> abort(connection, feed));
        ByteBuf query =
                new EngineQueryEncoder(context, exchange, attempt).encode(connection.revision());
        if (!attempt.advance(AttemptPhase.SENDING)) {
            return AttemptEndReason.CANCELLED;
        }
        // Checked immediately before the write, so that a draining engine receives no new query.
        if (!context.engines().isReady(attempt.engine())) {
            return AttemptEndReason.ENGINE_DRAINING;
        }
        connection.write(query);
        AttemptPhase next =
                exchange.waitsForData() ? AttemptPhase.SENDING_DATA : AttemptPhase.RUNNING;
        if (!attempt.advance(next)) {
            return AttemptEndReason.CANCELLED;
        }
        return relay.run();
    }

    /** Unblocks the thread of the attempt; may be called on any thread. */
    private static void abort(NativeEngineConnection connection, InsertFeed feed) {
        connection.close();
        if (feed != null) {
            feed.wake();
        }
    }
}
