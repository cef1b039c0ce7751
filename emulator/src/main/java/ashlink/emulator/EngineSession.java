package ashlink.emulator;

import ashlink.config.EngineConfig;
import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.emulator.Ledger.Entry;
import ashlink.emulator.Ledger.How;
import ashlink.emulator.model.Job;
import ashlink.wire.Block;
import ashlink.wire.BlockReader;
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
import ashlink.wire.StreamSource;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A client connection to an emulated engine. */
final class EngineSession {

    private static final int POLL_MS = 10;
    private static final int READ_BYTES = 64 << 10;
    private static final int TOO_MANY_QUERIES = 202;
    private static final int QUERY_CANCELLED = 394;
    private static final int HIGHEST_PRIORITY = 4;
    private static final WireLimits LIMITS = WireLimits.DEFAULT;

    /** Signals that the connection breaks because of an injected fault, a cancel or a crash. */
    private static final class BrokenConnectionException extends IOException {
        BrokenConnectionException() {
            super("connection broken by the emulated engine", null);
        }
    }

    private final EmulatedEngine engine;
    private final EngineConfig config;
    private final SocketChannel channel;
    private StreamSource in;
    private BlockReader blocks;
    private OutputStream out;
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
            in = new StreamSource(channel.socket().getInputStream(), READ_BYTES);
            blocks = new BlockReader(in, LIMITS);
            out = channel.socket().getOutputStream();
            injectFault(Place.ACCEPT, null);
            login();
            int packetNumber;
            while ((packetNumber = in.readByteOrEnd()) >= 0) {
                switch (ClientPacket.of(packetNumber)) {
                    case PING -> send(new ByteBuf().putVarUInt(ServerPacket.PONG.ordinal()));
                    case QUERY -> handleQuery();
                    case DATA -> readData(false);
                    case CANCEL -> {}
                    default -> throw new IOException("unexpected Hello packet after login");
                }
            }
        } catch (IOException | InterruptedException e) {
            // The client sees the closed connection.
        } finally {
            if (entry != null) {
                engine.ledger().end(entry, engine.isDown() ? How.CRASHED : How.CONNECTION_LOST);
            }
        }
    }

    private void send(ByteBuf bytes) throws IOException {
        bytes.writeTo(out);
    }

    private void injectFault(Place point, ByteBuf packet) throws IOException, InterruptedException {
        while (engine.faults().isHung() && point != Place.ACCEPT) {
            Thread.sleep(POLL_MS);
            if (engine.isDown()) {
                throw new BrokenConnectionException();
            }
            if (entry != null && onlyCancelExpected && entry.releasedNs() == 0 && clientIsGone()) {
                entry.markReleased();
            }
        }
        Break kind = engine.faults().nextBreak(point);
        if (kind == null) {
            return;
        }
        switch (kind) {
            case SILENCE -> {
                while (engine.faults().lostAnswerFraction() >= 0
                        && channel.isOpen()
                        && !engine.isDown()) {
                    Thread.sleep(POLL_MS);
                }
            }
            case GARBAGE ->
                    out.write(new byte[] {99, 98, 97, 96, (byte) 255, (byte) 255, (byte) 255});
            case HALF_PACKET -> {
                if (packet != null) {
                    out.write(packet.array(), 0, packet.size() / 2);
                }
            }
            case CORRUPT_FRAME -> {
                if (packet != null) {
                    byte[] bytes = java.util.Arrays.copyOf(packet.array(), packet.size());
                    bytes[bytes.length - 1] ^= 1;
                    out.write(bytes);
                }
            }
            default -> {}
        }
        throw new BrokenConnectionException();
    }

    private void login() throws IOException, InterruptedException {
        if (in.readByte() != ClientPacket.HELLO.ordinal()) {
            throw new IOException("first packet is not a Hello packet");
        }
        Hello.Client hello = Hello.Client.read(in, WireLimits.LOGIN);
        injectFault(Place.HELLO, null);
        revision = Math.min(Revision.HIGHEST, hello.revision());
        client = hello.name();
        ByteBuf response = new ByteBuf();
        new Hello.Server("stand-in", 22, 4, Revision.HIGHEST, "UTC", config.name(), 0)
                .write(revision, response);
        send(response);
    }

    /** Reads the rest of a Data packet. */
    private BlockReader.Size readData(boolean compressed) throws IOException {
        in.readString("table", LIMITS.nameBytes());
        return blocks.skip(compressed);
    }

    private BlockReader.Size readNextData(boolean compressed) throws IOException {
        if (in.readByte() != ClientPacket.DATA.ordinal()) {
            throw new IOException("unexpected packet instead of a Data packet");
        }
        return readData(compressed);
    }

    // ---- Statement
    private void handleQuery() throws IOException, InterruptedException {
        QueryPacket queryPacket = QueryPacket.read(in, revision, LIMITS);
        while (!readNextData(queryPacket.compressed()).isEnd()) {
            // Skips the external tables.
        }
        WorkHints hints = new WorkHints(queryPacket.statement());
        String text = queryPacket.statement().replaceAll("(?s)/\\*.*?\\*/", " ").strip();
        if (text.contains("system.metrics")) {
            injectFault(Place.RUN, null);
            sendMetrics(queryPacket);
            return;
        }
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
        String upperCaseText = text.toUpperCase(Locale.ROOT);
        boolean hasInlineData =
                upperCaseText.startsWith("INSERT") && !upperCaseText.contains("SELECT");
        onlyCancelExpected = !hasInlineData;
        injectFault(Place.QUERY, null);
        if (hasInlineData) {
            readInsert(queryPacket, hints);
            onlyCancelExpected = true;
        }
        entry.markRan();
        if (hints.integer("error", 0) > 0) {
            sendError((int) hints.integer("error", 0), "error requested by the statement");
            return;
        }
        if (!execute(queryPacket, hints)) {
            return;
        }
        entry.markEffect();
        respond(queryPacket, hints, text, upperCaseText);
        entry = null;
    }

    private void end(How how) {
        engine.ledger().end(entry, how);
    }

    private void sendError(int code, String reason) throws IOException {
        ByteBuf packet = new ByteBuf();
        new ServerError(code, "StandIn::Exception", config.name() + ": " + reason).write(packet);
        end(
                code == TOO_MANY_QUERIES
                        ? How.TURNED_AWAY
                        : code == QUERY_CANCELLED ? How.DROPPED : How.ERROR);
        entry = null;
        send(packet);
    }

    private void readInsert(QueryPacket queryPacket, WorkHints hints)
            throws IOException, InterruptedException {
        ByteBuf header = new ByteBuf();
        if (Revision.hasTableColumns(revision)) {
            header.putVarUInt(ServerPacket.TABLE_COLUMNS.ordinal())
                    .putString("")
                    .putString("columns format version: 1\n");
        }
        List<Block.Column> columns = new ArrayList<>();
        for (String text : hints.text("columns", "id:UInt64,value:String").split(",")) {
            int colon = text.indexOf(':');
            columns.add(
                    new Block.Column(
                            text.substring(0, colon), text.substring(colon + 1), List.of()));
        }
        header.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        new Block(columns, 0).write(queryPacket.compressed() ? Compression.LZ4 : null, header);
        injectFault(Place.HEADER, header);
        send(header);
        while (!readNextData(queryPacket.compressed()).isEnd()) {
            injectFault(Place.INSERT, null);
        }
    }

    // ---- Execution
    /**
     * Executes the statement and waits until it is done. Returns false if the engine rejected the
     * statement, after sending the error.
     */
    private boolean execute(QueryPacket queryPacket, WorkHints hints)
            throws IOException, InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Job job = engine.submit(demand(queryPacket, hints), done::countDown);
        if (job == null) {
            sendError(
                    TOO_MANY_QUERIES,
                    "too many concurrent queries: at most " + config.maxSessions());
            return false;
        }
        boolean clientGone = false;
        while (!done.await(POLL_MS, TimeUnit.MILLISECONDS)) {
            if (!clientGone && clientIsGone()) {
                clientGone = true;
                entry.markReleased();
                if (config.stopsOnCancel()) {
                    engine.cancel(job);
                    end(How.DROPPED);
                    throw new BrokenConnectionException();
                }
            }
        }
        if (job.state() != Job.State.DONE) {
            end(How.CRASHED);
            throw new BrokenConnectionException();
        }
        injectFault(Place.RUN, null);
        if (engine.nextRandom() < engine.faults().lostAnswerFraction()) {
            entry.markEffect();
            end(How.ANSWER_LOST);
            while (!clientIsGone() && !engine.isDown()) {
                Thread.sleep(POLL_MS);
            }
            entry.markReleased();
            throw new BrokenConnectionException();
        }
        return true;
    }

    private static Job.Demand demand(QueryPacket queryPacket, WorkHints hints) {
        String grant = queryPacket.setting("max_memory_usage");
        String priority = queryPacket.setting("priority");
        double grantMb = grant == null ? 0 : Double.parseDouble(grant) / (1 << 20);
        int modelPriority = priority == null ? 1 : HIGHEST_PRIORITY - Integer.parseInt(priority);
        return new Job.Demand(
                hints.number("work_ms", 1),
                (int) hints.integer("threads", 1),
                hints.number("io", 0),
                hints.number("memory_mb", 1),
                grantMb,
                modelPriority,
                hints.integer("tables", 0),
                hints.integer("holds", 0) > 0,
                hints.integer("waits", 0) > 0);
    }

    /** Returns true if the client closed the connection or sent a Cancel. */
    private boolean clientIsGone() {
        try {
            if (in.hasBuffered()) {
                return in.readByte() == ClientPacket.CANCEL.ordinal();
            }
            channel.configureBlocking(false);
            int count = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return count != 0; // end of stream, or a byte that can only be a Cancel
        } catch (IOException e) {
            return true;
        }
    }

    // ---- Response
    private void sendMetrics(QueryPacket queryPacket) throws IOException {
        Map<String, Double> gauges = engine.gauges();
        ByteBuf packet = new ByteBuf();
        packet.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        List<Object> names = new ArrayList<>(gauges.keySet());
        List<Object> values = new ArrayList<>();
        names.forEach(name -> values.add(gauges.get(name)));
        Block.of(
                        new Block.Column("metric", "String", names),
                        new Block.Column("value", "Float64", values))
                .write(queryPacket.compressed() ? Compression.LZ4 : null, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        send(packet);
    }

    private void respond(
            QueryPacket queryPacket, WorkHints hints, String text, String upperCaseText)
            throws IOException, InterruptedException {
        ByteBuf packet = new ByteBuf();
        Compression compression =
                !queryPacket.compressed()
                        ? null
                        : hints.text("compression", "lz4").equals("zstd")
                                ? Compression.ZSTD
                                : Compression.LZ4;
        long rows = 0;
        boolean isInsert =
                upperCaseText.startsWith(
                        "INSERT"); // at these revisions, END_OF_STREAM alone ends an INSERT
        if (!isInsert) {
            rows = writeBlocks(hints, text, compression, packet);
        }
        if (hints.integer("error_mid", 0) > 0) {
            send(packet);
            sendError(
                    (int) hints.integer("error_mid", 0),
                    "error requested by the statement within the result");
            return;
        }
        if (!isInsert) {
            new ProfileInfo(rows, 1, 0, false, 0, false).write(packet);
            writeProfileEvents(hints, packet);
        }
        injectFault(Place.END, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        end(How.ANSWERED);
        send(packet);
    }

    /** Writes the result blocks and sends them when the packet is large; the rest stays in it. */
    private long writeBlocks(WorkHints hints, String text, Compression compression, ByteBuf packet)
            throws IOException, InterruptedException {
        long blockCount = hints.integer("blocks", 1);
        int rows = (int) hints.integer("rows", 1);
        Block block =
                text.equalsIgnoreCase("SELECT 1")
                        ? Block.of(new Block.Column("1", "UInt8", List.of(1L)))
                        : resultBlock(hints, rows);
        ByteBuf blockPacket = new ByteBuf();
        blockPacket.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        block.write(compression, blockPacket);
        ByteBuf header = new ByteBuf();
        header.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        new Block(
                        block.columns().stream()
                                .map(
                                        column ->
                                                new Block.Column(
                                                        column.name(), column.type(), List.of()))
                                .toList(),
                        0)
                .write(compression, header);
        packet.append(header.array(), 0, header.size());
        new Progress(rows, 0, 0, 0, 0).write(revision, packet);
        for (long i = 0; i < blockCount && block.rows() > 0; i++) {
            if (i == blockCount / 2) {
                injectAnswerFault(blockPacket, packet);
            }
            packet.append(blockPacket.array(), 0, blockPacket.size());
            if (packet.size() > READ_BYTES) {
                send(packet);
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

    private Block resultBlock(WorkHints hints, int rows) {
        List<Object> ids = new ArrayList<>();
        List<Object> values = new ArrayList<>();
        String value = hints.text("value", config.name());
        int width = (int) hints.integer("width", 0);
        String paddedValue =
                width > 0
                        ? value.repeat(width / Math.max(1, value.length()) + 1).substring(0, width)
                        : value;
        for (int i = 0; i < rows; i++) {
            ids.add((long) i);
            values.add(paddedValue);
        }
        return Block.of(
                new Block.Column("id", "UInt64", ids), new Block.Column("value", "String", values));
    }

    private void writeProfileEvents(WorkHints hints, ByteBuf packet) throws IOException {
        if (!Revision.hasProfileEvents(revision)) {
            return;
        }
        Map<String, Double> gauges = engine.gauges();
        List<Object> names = new ArrayList<>(List.of("WorkMilliseconds", "MemoryMegabytes"));
        List<Object> values =
                new ArrayList<>(
                        List.of(hints.integer("work_ms", 1), hints.integer("memory_mb", 1)));
        gauges.forEach(
                (name, value) -> {
                    names.add(name + "Permille");
                    values.add((long) (value * 1000));
                });
        int rows = names.size();
        packet.putVarUInt(ServerPacket.PROFILE_EVENTS.ordinal()).putString("");
        Block.of(
                        new Block.Column("host_name", "String", repeat(config.name(), rows)),
                        new Block.Column(
                                "current_time",
                                "DateTime",
                                repeat(System.currentTimeMillis() / 1000, rows)),
                        new Block.Column("thread_id", "UInt64", repeat(1L, rows)),
                        new Block.Column(
                                "type", "Enum8('increment' = 1, 'gauge' = 2)", repeat(2L, rows)),
                        new Block.Column("name", "String", names),
                        new Block.Column("value", "Int64", values))
                .write(null, packet);
    }

    private static List<Object> repeat(Object value, int times) {
        return new ArrayList<>(java.util.Collections.nCopies(times, value));
    }
}
