package ashlink.emulator;

import ashlink.config.EngineConfig;
import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.emulator.Ledger.Entry;
import ashlink.emulator.Ledger.Outcome;
import ashlink.emulator.model.Job;
import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.Compression;
import ashlink.wire.Hello;
import ashlink.wire.ProfileInfo;
import ashlink.wire.Progress;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A client connection to an emulated engine. */
final class EngineSession {

    private static final int POLL_MS = 10;
    private static final int TOO_MANY_QUERIES = 202;
    private static final int QUERY_CANCELLED = 394;

    private final EmulatedEngine engine;
    private final EngineConfig config;
    private final SocketChannel channel;
    private PacketChannel packets;
    private int revision;
    private String client = "";
    private Entry entry;

    /** True while the client can send only a Cancel. */
    private boolean onlyCancelExpected;

    EngineSession(EmulatedEngine engine, SocketChannel channel) {
        this.engine = engine;
        this.config = engine.config();
        this.channel = channel;
    }

    void run() {
        try (channel) {
            packets = new PacketChannel(channel);
            injectFault(Place.ACCEPT, null);
            login();
            int packetNumber;
            while ((packetNumber = packets.in().readByteOrEnd()) >= 0) {
                switch (ClientPacket.of(packetNumber)) {
                    case PING ->
                            packets.send(new ByteBuf().putVarUInt(ServerPacket.PONG.ordinal()));
                    case QUERY -> handleQuery();
                    case DATA -> packets.readData(false);
                    case CANCEL -> {}
                    default -> throw new IOException("unexpected Hello packet after login");
                }
            }
        } catch (IOException | InterruptedException e) {
            // The client sees the closed connection.
        } finally {
            if (entry != null) {
                engine.ledger()
                        .end(entry, engine.isDown() ? Outcome.CRASHED : Outcome.CONNECTION_LOST);
            }
        }
    }

    private void injectFault(Place point, ByteBuf packet) throws IOException, InterruptedException {
        while (engine.faults().isHung() && point != Place.ACCEPT) {
            Thread.sleep(POLL_MS);
            if (engine.isDown()) {
                throw new BrokenConnectionException();
            }
            if (entry != null
                    && onlyCancelExpected
                    && entry.releasedNs() == 0
                    && packets.clientIsGone()) {
                entry.markReleased();
            }
        }
        Break kind = engine.faults().nextBreak(point);
        if (kind == null) {
            return;
        }
        if (kind == Break.SILENCE) {
            while (engine.faults().lostAnswerFraction() >= 0
                    && packets.isOpen()
                    && !engine.isDown()) {
                Thread.sleep(POLL_MS);
            }
        } else {
            packets.sendDamaged(kind, packet);
        }
        throw new BrokenConnectionException();
    }

    private void login() throws IOException, InterruptedException {
        if (packets.in().readByte() != ClientPacket.HELLO.ordinal()) {
            throw new IOException("first packet is not a Hello packet");
        }
        Hello.Client hello = Hello.Client.read(packets.in(), WireLimits.LOGIN);
        injectFault(Place.HELLO, null);
        revision = Math.min(Revision.HIGHEST, hello.revision());
        client = hello.name();
        ByteBuf response = new ByteBuf();
        new Hello.Server("stand-in", 22, 4, Revision.HIGHEST, "UTC", config.name(), 0)
                .write(revision, response);
        packets.send(response);
    }

    // ---- Statement
    private void handleQuery() throws IOException, InterruptedException {
        QueryPacket queryPacket = QueryPacket.read(packets.in(), revision, PacketChannel.LIMITS);
        while (!packets.readNextData(queryPacket.compressed()).isEnd()) {
            // Skips the external tables.
        }
        EngineStatement statement = new EngineStatement(queryPacket);
        if (statement.readsMetrics()) {
            injectFault(Place.RUN, null);
            packets.send(ResponseBlocks.metrics(queryPacket, engine.gauges()));
            return;
        }
        WorkHints hints = statement.hints();
        entry =
                new Entry(
                        config.name(),
                        config.kind(),
                        config.zone(),
                        client,
                        queryPacket.id(),
                        hints,
                        System.nanoTime());
        engine.ledger().begin(entry);
        onlyCancelExpected = !statement.hasInlineData();
        injectFault(Place.QUERY, null);
        if (statement.hasInlineData()) {
            readInsert(statement);
            onlyCancelExpected = true;
        }
        entry.markRan();
        if (hints.integer("error", 0) > 0) {
            sendError((int) hints.integer("error", 0), "error requested by the statement");
            return;
        }
        if (!execute(statement)) {
            return;
        }
        entry.markEffect();
        respond(statement);
        entry = null;
    }

    private void end(Outcome outcome) {
        engine.ledger().end(entry, outcome);
    }

    private void sendError(int code, String reason) throws IOException {
        ByteBuf packet = new ByteBuf();
        new ServerError(code, "StandIn::Exception", config.name() + ": " + reason).write(packet);
        end(
                code == TOO_MANY_QUERIES
                        ? Outcome.TURNED_AWAY
                        : code == QUERY_CANCELLED ? Outcome.DROPPED : Outcome.ERROR);
        entry = null;
        packets.send(packet);
    }

    private void readInsert(EngineStatement statement) throws IOException, InterruptedException {
        boolean compressed = statement.packet().compressed();
        ByteBuf header = ResponseBlocks.insertHeader(statement, revision);
        injectFault(Place.HEADER, header);
        packets.send(header);
        while (!packets.readNextData(compressed).isEnd()) {
            injectFault(Place.INSERT, null);
        }
    }

    // ---- Execution
    /**
     * Executes the statement and waits until it is done. Returns false if the engine rejected the
     * statement, after sending the error.
     */
    private boolean execute(EngineStatement statement) throws IOException, InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Job job = engine.submit(statement.demand(), done::countDown);
        if (job == null) {
            sendError(
                    TOO_MANY_QUERIES,
                    "too many concurrent queries: at most " + config.maxSessions());
            return false;
        }
        boolean clientGone = false;
        while (!done.await(POLL_MS, TimeUnit.MILLISECONDS)) {
            if (!clientGone && packets.clientIsGone()) {
                clientGone = true;
                entry.markReleased();
                if (config.stopsOnCancel()) {
                    engine.cancel(job);
                    end(Outcome.DROPPED);
                    throw new BrokenConnectionException();
                }
            }
        }
        if (job.state() != Job.State.DONE) {
            end(Outcome.CRASHED);
            throw new BrokenConnectionException();
        }
        injectFault(Place.RUN, null);
        if (engine.nextRandom() < engine.faults().lostAnswerFraction()) {
            entry.markEffect();
            end(Outcome.ANSWER_LOST);
            while (!packets.clientIsGone() && !engine.isDown()) {
                Thread.sleep(POLL_MS);
            }
            entry.markReleased();
            throw new BrokenConnectionException();
        }
        return true;
    }

    // ---- Response
    private void respond(EngineStatement statement) throws IOException, InterruptedException {
        WorkHints hints = statement.hints();
        ByteBuf packet = new ByteBuf();
        long rows = 0;
        boolean isInsert = statement.isInsert(); // at these revisions, END_OF_STREAM alone ends it
        if (!isInsert) {
            rows = writeBlocks(statement, packet);
        }
        if (hints.integer("error_mid", 0) > 0) {
            packets.send(packet);
            sendError(
                    (int) hints.integer("error_mid", 0),
                    "error requested by the statement within the result");
            return;
        }
        if (!isInsert) {
            new ProfileInfo(rows, 1, 0, false, 0, false).write(packet);
            if (Revision.hasProfileEvents(revision)) {
                ResponseBlocks.writeProfileEvents(hints, config.name(), engine.gauges(), packet);
            }
        }
        injectFault(Place.END, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        end(Outcome.ANSWERED);
        packets.send(packet);
    }

    /** Writes the result blocks and sends them when the packet is large; the rest stays in it. */
    private long writeBlocks(EngineStatement statement, ByteBuf packet)
            throws IOException, InterruptedException {
        Compression compression = statement.resultCompression();
        long blockCount = statement.hints().integer("blocks", 1);
        int rows = (int) statement.hints().integer("rows", 1);
        Block block =
                statement.text().equalsIgnoreCase("SELECT 1")
                        ? Block.of(new Block.Column("1", "UInt8", List.of(1L)))
                        : ResponseBlocks.result(statement.hints(), config.name(), rows);
        ByteBuf blockPacket = new ByteBuf();
        blockPacket.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        block.write(compression, blockPacket);
        ByteBuf header = ResponseBlocks.resultHeader(block, compression);
        packet.append(header.array(), 0, header.size());
        new Progress(rows, 0, 0, 0, 0).write(revision, packet);
        for (long i = 0; i < blockCount && block.rows() > 0; i++) {
            if (i == blockCount / 2) {
                injectAnswerFault(blockPacket, packet);
            }
            packet.append(blockPacket.array(), 0, blockPacket.size());
            if (packet.size() > PacketChannel.BUFFER_BYTES) {
                packets.send(packet);
                packet.clear();
            }
        }
        return rows * blockCount;
    }

    private void injectAnswerFault(ByteBuf blockPacket, ByteBuf precedingBytes)
            throws IOException, InterruptedException {
        if (engine.faults().isPending(Place.ANSWER)) {
            injectFault(
                    Place.ANSWER,
                    new ByteBuf()
                            .append(precedingBytes.array(), 0, precedingBytes.size())
                            .append(blockPacket.array(), 0, blockPacket.size()));
        }
    }
}
