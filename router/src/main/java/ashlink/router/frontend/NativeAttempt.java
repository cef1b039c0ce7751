package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.router.core.Attempt.AttemptReport;
import ashlink.router.core.AttemptEndReason;
import ashlink.router.core.AttemptPhase;
import ashlink.router.core.StatementOutcome;
import ashlink.router.upstream.EngineErrors;
import ashlink.router.upstream.LoadReportReader;
import ashlink.router.upstream.NativeConnectionPool;
import ashlink.router.upstream.NativeEngineConnection;
import ashlink.wire.Blocks;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ProfileInfo;
import ashlink.wire.Progress;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.Setting;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives one attempt: connects, sends the statement, feeds an insert, and passes the answer on.
 * What the client gets is kept back until it is whole or over its limit; only from then on does the
 * attempt own the answer.
 */
final class NativeAttempt implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(NativeAttempt.class);

    /**
     * Bytes of a bound answer that are gathered while more is in hand: one write for many small
     * packets.
     */
    private static final int GATHER_BYTES = 64 << 10;

    private static final int MOST_EVENT_ROWS = 100_000;
    private static final int HIGHEST_PRIORITY = 4;
    private static final String OWN_SETTINGS = "ashlink_";

    private final ListenerContext context;
    private final RequestExchange exchange;
    private final Attempt attempt;
    private final ByteBuf answer;
    private final Map<String, Double> told = new HashMap<>();
    private NativeEngineConnection engine;
    private boolean bound;

    NativeAttempt(ListenerContext context, RequestExchange exchange, Attempt attempt) {
        this.context = context;
        this.exchange = exchange;
        this.attempt = attempt;
        this.answer = new ByteBuf(context.limits().packetBytes(), context.answerQuota());
    }

    @Override
    public void run() {
        AttemptEndReason cause = AttemptEndReason.CONNECTION_BROKEN;
        try {
            cause = drive();
        } catch (NativeConnectionPool.Full e) {
            cause = AttemptEndReason.NO_CAPACITY;
        } catch (WireException e) {
            cause = garbled(e);
        } catch (IOException e) {
            cause =
                    engine == null
                            ? AttemptEndReason.CONNECT_FAILED
                            : AttemptEndReason.CONNECTION_BROKEN;
            exchange.lastError(attempt.engine() + ": " + e.getMessage());
        } catch (InterruptedException e) {
            cause = AttemptEndReason.NO_CAPACITY;
        } catch (RuntimeException e) {
            LOG.error(
                    "attempt {} of request {} ends by an error of this router",
                    attempt.attemptNumber(),
                    attempt.id(),
                    e);
        } finally {
            answer.release();
            if (engine != null) {
                giveBack(cause == AttemptEndReason.ENGINE_DRAINING);
            }
            if (cause != null) {
                attempt.end(cause, AttemptReport.NONE);
            }
        }
    }

    /**
     * Bytes of the engine that make no sense, or too many: what cannot be passed on is the
     * statement's end.
     */
    private AttemptEndReason garbled(WireException failure) {
        exchange.lastError(attempt.engine() + ": " + failure.getMessage());
        boolean own =
                failure.reason() == WireException.Reason.UNKNOWN_TYPE
                        || failure.reason() == WireException.Reason.TOO_LARGE;
        if (own
                && !bound
                && attempt.phase() == AttemptPhase.RUNNING
                && attempt.end(AttemptEndReason.STATEMENT_ERROR, AttemptReport.NONE)) {
            exchange.finish(ResponseWriter.wire(failure), StatementOutcome.ERROR);
            return null;
        }
        return AttemptEndReason.CONNECTION_BROKEN;
    }

    /** Returns why the attempt ended, or null where that is told already. */
    private AttemptEndReason drive() throws IOException, InterruptedException {
        InsertFeed feed = exchange.feed();
        if (feed != null && !feed.rewind()) {
            return AttemptEndReason.NO_CAPACITY;
        }
        if (!attempt.advance(AttemptPhase.CONNECTING)) {
            return AttemptEndReason.CANCELLED;
        }
        NativeEngineConnection connection =
                context.engines().take(attempt.engine(), exchange.database());
        engine = connection;
        attempt.closer(
                () -> {
                    connection.close();
                    if (feed != null) {
                        feed.wake();
                    }
                });
        ByteBuf query = query(connection.revision());
        if (!attempt.advance(AttemptPhase.SENDING)) {
            return AttemptEndReason.CANCELLED;
        }
        if (!context.engines().isReady(attempt.engine())) {
            return AttemptEndReason
                    .ENGINE_DRAINING; // asked last of all, so that the grace holds for the first
            // byte
        }
        connection.write(query);
        if (!attempt.advance(
                exchange.waitsForData() ? AttemptPhase.FEEDING : AttemptPhase.RUNNING)) {
            return AttemptEndReason.CANCELLED;
        }
        return relay();
    }

    private ByteBuf query(int revision) throws WireException {
        QueryPacket queryPacket = exchange.query();
        List<Setting> settings = new ArrayList<>();
        for (Setting setting : queryPacket.settings()) {
            if (!setting.name().startsWith(OWN_SETTINGS)) {
                settings.add(setting);
            }
        }
        if (attempt.memoryMb() > 0) {
            settings.add(
                    new Setting("max_memory_usage", 0, Long.toString(attempt.memoryMb() << 20)));
        }
        if (attempt.priority() >= 0 && context.config().allowed().priorities()) {
            settings.add(
                    new Setting(
                            "priority",
                            0,
                            Integer.toString(HIGHEST_PRIORITY - attempt.priority())));
        }
        String id =
                context.config().name()
                        + "-"
                        + context.boot()
                        + "-"
                        + attempt.id()
                        + "-"
                        + attempt.attemptNumber();
        ClientInfo by = queryPacket.client();
        ClientInfo info =
                new ClientInfo(
                        by.user(),
                        queryPacket.id().isEmpty() ? id : queryPacket.id(),
                        by.address(),
                        by.osUser(),
                        by.host(),
                        by.name(),
                        by.major(),
                        by.minor(),
                        Revision.HIGHEST,
                        by.patch(),
                        by.quotaKey());
        ByteBuf out = new ByteBuf();
        new QueryPacket(
                        id,
                        info,
                        settings,
                        queryPacket.stage(),
                        queryPacket.compressed(),
                        queryPacket.statement())
                .write(revision, out);
        return out.append(exchange.externalTables(), 0, exchange.externalTables().length);
    }

    // ---- The answer
    private AttemptEndReason relay() throws IOException, InterruptedException {
        StreamSource in = engine.in();
        boolean fed = exchange.feed() == null;
        while (true) {
            int packetFrom = answer.size();
            in.startTap(answer);
            ServerPacket kind = ServerPacket.of(in.readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                return exception(ServerError.read(in, context.limits()), fed);
            }
            Blocks.Size block = readPacket(kind, packetFrom);
            if (kind == ServerPacket.END_OF_STREAM) {
                return endOfStream(fed);
            }
            if (!fed && kind == ServerPacket.DATA && block.rows() == 0 && block.columns() > 0) {
                byte[] header = Arrays.copyOfRange(answer.array(), packetFrom, answer.size());
                if (!exchange.header(answer, header)) {
                    exchange.lastError(
                            attempt.engine()
                                    + " has other columns than the engine that was asked first");
                    return AttemptEndReason.ENGINE_ERROR;
                }
                answer.clear();
                AttemptEndReason broken = feed();
                if (broken != null || attempt.isOver()) {
                    return broken;
                }
                fed = true;
            } else if (!passOn()) {
                return AttemptEndReason.CANCELLED;
            }
        }
    }

    /** Reads the rest of a packet into the answer, in the layout of the client's revision. */
    private Blocks.Size readPacket(ServerPacket kind, int packetFrom) throws IOException {
        StreamSource in = engine.in();
        int peer = exchange.clientRevision();
        Blocks.Size size = null;
        boolean wanted = true;
        if (kind == ServerPacket.PROFILE_EVENTS) {
            in.readString("table", context.limits().nameBytes());
            told.putAll(LoadReportReader.values(engine.blocks().read(false, MOST_EVENT_ROWS)));
            wanted = Revision.hasProfileEvents(peer);
        } else if (kind.hasBlock()) {
            in.readString("table", context.limits().nameBytes());
            size = engine.blocks().skip(kind.isCompressible() && exchange.query().compressed());
            wanted = kind != ServerPacket.LOG || Revision.hasLogs(peer);
        } else if (kind == ServerPacket.PROGRESS) {
            Progress progress = Progress.read(in, engine.revision());
            in.endTap();
            answer.truncate(packetFrom);
            progress.write(peer, answer);
            return null;
        } else if (kind == ServerPacket.PROFILE_INFO) {
            ProfileInfo.read(in);
        } else if (kind == ServerPacket.TABLE_COLUMNS) {
            in.readString("table", context.limits().nameBytes());
            in.readString("columns", context.limits().textBytes());
            wanted = Revision.hasTableColumns(peer);
        } else if (kind != ServerPacket.END_OF_STREAM) {
            throw new WireException(
                    WireException.Reason.MALFORMED, "packet " + kind + " is out of place");
        }
        in.endTap();
        if (!wanted) {
            answer.truncate(packetFrom);
        }
        return size;
    }

    /** Passes on what is in hand once it is too much to keep; false where the attempt is over. */
    private boolean passOn() {
        if (!bound && answer.size() > context.config().bounds().heldAnswer()) {
            if (!attempt.advance(AttemptPhase.ANSWERING)) {
                return false;
            }
            bound = true;
        }
        if (bound
                && answer.size() > 0
                && (answer.size() >= GATHER_BYTES || !engine.in().hasBuffered())) {
            exchange.write(answer);
            answer.clear();
        }
        return !attempt.isOver();
    }

    private AttemptEndReason endOfStream(boolean fed) throws IOException {
        if (!fed && exchange.waitsForData()) {
            return AttemptEndReason
                    .CONNECTION_BROKEN; // an insert that ends before its data came: nothing of ours
            // ran
        }
        boolean first = attempt.end(AttemptEndReason.SERVED, context.engines().gauges().told(told));
        giveBack(first);
        if (first) {
            exchange.finish(answer, StatementOutcome.SERVED);
        }
        return null;
    }

    /**
     * Ends the attempt by an engine's exception; the connection is clean but where data was still
     * expected.
     */
    private AttemptEndReason exception(ServerError serverError, boolean fed) throws IOException {
        engine.in().endTap();
        AttemptEndReason cause =
                bound ? AttemptEndReason.STATEMENT_ERROR : EngineErrors.cause(serverError.code());
        exchange.lastError(
                attempt.engine() + ": code " + serverError.code() + ": " + serverError.message());
        boolean first = attempt.end(cause, context.engines().gauges().told(told));
        giveBack(first && fed);
        if (first && cause == AttemptEndReason.STATEMENT_ERROR) {
            exchange.finish(answer, StatementOutcome.ERROR);
        }
        return null;
    }

    private void giveBack(boolean clean) {
        context.engines().giveBack(engine, clean);
        engine = null;
    }

    // ---- The data of an insert
    /** Feeds the engine; null once it has all, else why not. */
    private AttemptEndReason feed() throws IOException, InterruptedException {
        InsertFeed feed = exchange.feed();
        while (true) {
            byte[] packet = feed.next(attempt);
            if (packet == null) {
                return AttemptEndReason
                        .CANCELLED; // the client is gone, or the attempt's time was up
            }
            while (engine.hasSomething()) {
                if (!early()) {
                    return null;
                }
            }
            boolean last = feed.isAtEnd();
            if (last && exchange.waitsForData() && !attempt.advance(AttemptPhase.ENDING)) {
                return AttemptEndReason.CANCELLED;
            }
            engine.write(packet);
            if (last) {
                return attempt.advance(AttemptPhase.RUNNING) ? null : AttemptEndReason.CANCELLED;
            }
        }
    }

    /**
     * The engine speaks before it has all the data: progress and logs are passed over, an error
     * ends the insert.
     */
    private boolean early() throws IOException {
        int from = answer.size();
        engine.in().startTap(answer);
        ServerPacket kind = ServerPacket.of(engine.in().readVarUInt());
        if (kind == ServerPacket.EXCEPTION) {
            exception(ServerError.read(engine.in(), context.limits()), false);
            return false;
        }
        readPacket(kind, from);
        if (kind == ServerPacket.END_OF_STREAM) {
            throw new IOException("the engine ended the insert before it had the data");
        }
        return true;
    }
}
