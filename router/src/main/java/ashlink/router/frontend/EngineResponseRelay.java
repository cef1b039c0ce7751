package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.router.core.AttemptEndReason;
import ashlink.router.core.AttemptPhase;
import ashlink.router.core.StatementOutcome;
import ashlink.router.upstream.EngineErrors;
import ashlink.router.upstream.LoadReportReader;
import ashlink.router.upstream.NativeEngineConnection;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ProfileInfo;
import ashlink.wire.Progress;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Relays the response of an engine to the client of one attempt, and sends the data of an insert to
 * the engine.
 *
 * <p>The response is buffered until it is complete or exceeds the buffer limit, so that another
 * attempt can replace this one without effect on the client. When the response exceeds the limit,
 * the attempt is committed: the packets are written to the client, and no other attempt can provide
 * the response.
 */
final class EngineResponseRelay {

    /** Buffer size from which on committed packets are written, to avoid many small writes. */
    private static final int WRITE_BATCH_BYTES = 64 << 10;

    private static final int MAX_PROFILE_EVENT_ROWS = 100_000;

    private final ListenerContext context;
    private final RequestExchange exchange;
    private final Attempt attempt;
    private final ConnectionLease lease;
    private final ByteBuf response;

    /** Values of the profile events that the engine sent with its response, by name. */
    private final Map<String, Double> profileEvents = new HashMap<>();

    private boolean committed;

    EngineResponseRelay(
            ListenerContext context,
            RequestExchange exchange,
            Attempt attempt,
            ConnectionLease lease) {
        this.context = context;
        this.exchange = exchange;
        this.attempt = attempt;
        this.lease = lease;
        this.response = new ByteBuf(context.limits().packetBytes(), context.responseQuota());
    }

    /** Returns whether the client receives the response of this attempt. */
    boolean isCommitted() {
        return committed;
    }

    /** Releases the buffer. */
    void close() {
        response.release();
    }

    /**
     * Relays the response; returns the reason for the end of the attempt, or null if the attempt
     * has already ended.
     */
    AttemptEndReason run() throws IOException, InterruptedException {
        StreamSource in = lease.connection().in();
        boolean dataComplete = exchange.feed() == null;
        while (true) {
            int packetStart = response.size();
            in.startTap(response);
            ServerPacket kind = ServerPacket.of(in.readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                return handleException(ServerError.read(in, context.limits()), dataComplete);
            }
            BlockReader.Size block = readPacket(kind, packetStart);
            if (kind == ServerPacket.END_OF_STREAM) {
                return handleEndOfStream(dataComplete);
            }
            boolean isInsertHeader =
                    !dataComplete
                            && kind == ServerPacket.DATA
                            && block.rows() == 0
                            && block.columns() > 0;
            if (isInsertHeader) {
                AttemptEndReason reason = startInsert(packetStart);
                if (reason != null || attempt.isOver()) {
                    return reason;
                }
                dataComplete = true;
            } else if (!forward()) {
                return AttemptEndReason.CANCELLED;
            }
        }
    }

    /**
     * Reads the rest of a packet into the buffer, encoded for the protocol revision of the client.
     */
    private BlockReader.Size readPacket(ServerPacket kind, int packetStart) throws IOException {
        NativeEngineConnection connection = lease.connection();
        StreamSource in = connection.in();
        int clientRevision = exchange.clientRevision();
        BlockReader.Size size = null;
        boolean clientSupports = true;
        if (kind == ServerPacket.PROFILE_EVENTS) {
            readTableName(in);
            profileEvents.putAll(
                    LoadReportReader.values(
                            connection.blocks().read(false, MAX_PROFILE_EVENT_ROWS)));
            clientSupports = Revision.hasProfileEvents(clientRevision);
        } else if (kind.hasBlock()) {
            readTableName(in);
            size = connection.blocks().skip(kind.isCompressible() && exchange.query().compressed());
            clientSupports = kind != ServerPacket.LOG || Revision.hasLogs(clientRevision);
        } else if (kind == ServerPacket.PROGRESS) {
            Progress progress = Progress.read(in, connection.revision());
            in.endTap();
            response.truncate(packetStart);
            progress.write(clientRevision, response);
            return null;
        } else if (kind == ServerPacket.PROFILE_INFO) {
            ProfileInfo.read(in);
        } else if (kind == ServerPacket.TABLE_COLUMNS) {
            readTableName(in);
            in.readString("columns", context.limits().textBytes());
            clientSupports = Revision.hasTableColumns(clientRevision);
        } else if (kind != ServerPacket.END_OF_STREAM) {
            throw new WireException(
                    WireException.Reason.MALFORMED, "unexpected packet " + kind + " in a response");
        }
        in.endTap();
        if (!clientSupports) {
            response.truncate(packetStart);
        }
        return size;
    }

    private void readTableName(StreamSource in) throws IOException {
        in.readString("table", context.limits().nameBytes());
    }

    /**
     * Commits the attempt if the response exceeds the buffer limit, and writes the buffer of a
     * committed attempt once it is large enough or no further bytes are available. Returns false if
     * the attempt is over.
     */
    private boolean forward() {
        if (!committed
                && response.size() > context.config().resourceLimits().responseBufferBytes()) {
            if (!attempt.advance(AttemptPhase.ANSWERING)) {
                return false;
            }
            committed = true;
        }
        boolean shouldWrite =
                response.size() >= WRITE_BATCH_BYTES || !lease.connection().in().hasBuffered();
        if (committed && response.size() > 0 && shouldWrite) {
            exchange.write(response);
            response.clear();
        }
        return !attempt.isOver();
    }

    private AttemptEndReason handleEndOfStream(boolean dataComplete) {
        if (!dataComplete && exchange.waitsForData()) {
            // The engine ended the insert before it received the data, so it executed nothing.
            return AttemptEndReason.CONNECTION_BROKEN;
        }
        boolean ended =
                attempt.end(
                        AttemptEndReason.SERVED,
                        context.engines().loadReports().attemptReport(profileEvents));
        lease.release(ended);
        if (ended) {
            exchange.finish(response, StatementOutcome.SERVED);
        }
        return null;
    }

    /** Ends the attempt. The connection is reusable unless the engine still expects data. */
    private AttemptEndReason handleException(ServerError error, boolean dataComplete)
            throws IOException {
        lease.connection().in().endTap();
        AttemptEndReason reason =
                committed ? AttemptEndReason.STATEMENT_ERROR : EngineErrors.reason(error.code());
        exchange.recordError(
                attempt.engine() + ": error code " + error.code() + ": " + error.message());
        boolean ended =
                attempt.end(reason, context.engines().loadReports().attemptReport(profileEvents));
        lease.release(ended && dataComplete);
        if (ended && reason == AttemptEndReason.STATEMENT_ERROR) {
            exchange.finish(response, StatementOutcome.ERROR);
        }
        return null;
    }

    /** Passes the header of an insert to the client, then sends the data to the engine. */
    private AttemptEndReason startInsert(int headerStart) throws IOException, InterruptedException {
        byte[] header = Arrays.copyOfRange(response.array(), headerStart, response.size());
        if (!exchange.acceptHeader(response, header)) {
            exchange.recordError(
                    attempt.engine() + ": columns differ from those of the first attempt");
            return AttemptEndReason.ENGINE_ERROR;
        }
        response.clear();
        return sendInsertData();
    }

    /**
     * Sends the data of the insert to the engine. Returns null after all data is sent or if the
     * attempt has ended, otherwise the reason for the end of the attempt.
     */
    private AttemptEndReason sendInsertData() throws IOException, InterruptedException {
        InsertFeed feed = exchange.feed();
        while (true) {
            byte[] packet = feed.next(attempt);
            if (packet == null) {
                // The client disconnected, or the attempt timed out.
                return AttemptEndReason.CANCELLED;
            }
            while (lease.connection().hasUnreadBytes()) {
                if (!handleEarlyPacket()) {
                    return null;
                }
            }
            boolean isLast = feed.isAtEnd();
            if (isLast
                    && exchange.waitsForData()
                    && !attempt.advance(AttemptPhase.SENDING_DATA_END)) {
                return AttemptEndReason.CANCELLED;
            }
            lease.connection().write(packet);
            if (isLast) {
                return attempt.advance(AttemptPhase.RUNNING) ? null : AttemptEndReason.CANCELLED;
            }
        }
    }

    /**
     * Reads a packet that the engine sends before it has received all data. Progress and log
     * packets are buffered.
     *
     * @return false if the packet is an exception, which ends the attempt
     */
    private boolean handleEarlyPacket() throws IOException {
        StreamSource in = lease.connection().in();
        int packetStart = response.size();
        in.startTap(response);
        ServerPacket kind = ServerPacket.of(in.readVarUInt());
        if (kind == ServerPacket.EXCEPTION) {
            handleException(ServerError.read(in, context.limits()), false);
            return false;
        }
        readPacket(kind, packetStart);
        if (kind == ServerPacket.END_OF_STREAM) {
            throw new IOException("engine ended the insert before it received all data");
        }
        return true;
    }
}
