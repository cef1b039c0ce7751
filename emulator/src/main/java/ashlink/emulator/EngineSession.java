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

    private static final int LOOK_MS = 10;
    private static final int READ_BYTES = 64 << 10;
    private static final int TURNED_AWAY = 202;
    private static final int CANCELLED = 394;
    private static final int HIGHEST_PRIORITY = 4;
    private static final WireLimits LIMITS = WireLimits.DEFAULT;

    /** Signals that the connection breaks because of an injected fault, a cancel or a crash. */
    private static final class Broken extends IOException {
        Broken() {
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
    private boolean quiet;

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
            breakHere(Place.ACCEPT, null);
            hello();
            int kind;
            while ((kind = in.readByteOrEnd()) >= 0) {
                switch (ClientPacket.of(kind)) {
                    case PING -> send(new ByteBuf().putVarUInt(ServerPacket.PONG.ordinal()));
                    case QUERY -> query();
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

    private void breakHere(Place place, ByteBuf packet) throws IOException, InterruptedException {
        while (engine.faults().isHung() && place != Place.ACCEPT) {
            Thread.sleep(LOOK_MS);
            if (engine.isDown()) {
                throw new Broken();
            }
            if (entry != null && quiet && entry.releasedNs() == 0 && clientHasGone()) {
                entry.released();
            }
        }
        Break b = engine.faults().here(place);
        if (b == null) {
            return;
        }
        switch (b) {
            case SILENCE -> {
                while (engine.faults().lostAnswers() >= 0 && channel.isOpen() && !engine.isDown()) {
                    Thread.sleep(LOOK_MS);
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
        throw new Broken();
    }

    private void hello() throws IOException, InterruptedException {
        if (in.readByte() != ClientPacket.HELLO.ordinal()) {
            throw new IOException("first packet is not a Hello packet");
        }
        Hello.Client hello = Hello.Client.read(in, WireLimits.LOGIN);
        breakHere(Place.HELLO, null);
        revision = Math.min(Revision.HIGHEST, hello.revision());
        client = hello.name();
        ByteBuf answer = new ByteBuf();
        new Hello.Server("stand-in", 22, 4, Revision.HIGHEST, "UTC", config.name(), 0)
                .write(revision, answer);
        send(answer);
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
    private void query() throws IOException, InterruptedException {
        QueryPacket queryPacket = QueryPacket.read(in, revision, LIMITS);
        while (!readNextData(queryPacket.compressed()).isEnd()) {
            // Skips the external tables.
        }
        WorkHints hints = new WorkHints(queryPacket.statement());
        String text = queryPacket.statement().replaceAll("(?s)/\\*.*?\\*/", " ").strip();
        if (text.contains("system.metrics")) {
            breakHere(Place.RUN, null);
            answerMetrics(queryPacket);
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
        String upper = text.toUpperCase(Locale.ROOT);
        boolean takesData = upper.startsWith("INSERT") && !upper.contains("SELECT");
        quiet = !takesData;
        breakHere(Place.QUERY, null);
        if (takesData) {
            readInsert(queryPacket, hints);
            quiet = true;
        }
        entry.ran();
        if (hints.whole("error", 0) > 0) {
            sendError((int) hints.whole("error", 0), "error requested by the statement");
            return;
        }
        if (!work(queryPacket, hints)) {
            return;
        }
        entry.effect();
        answer(queryPacket, hints, text, upper);
        entry = null;
    }

    private void end(How how) {
        engine.ledger().end(entry, how);
    }

    private void sendError(int code, String why) throws IOException {
        ByteBuf packet = new ByteBuf();
        new ServerError(code, "StandIn::Exception", config.name() + ": " + why).write(packet);
        end(code == TURNED_AWAY ? How.TURNED_AWAY : code == CANCELLED ? How.DROPPED : How.ERROR);
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
        breakHere(Place.HEADER, header);
        send(header);
        while (!readNextData(queryPacket.compressed()).isEnd()) {
            breakHere(Place.INSERT, null);
        }
    }

    // ---- Execution
    /**
     * Executes the statement and waits until it is done. Returns false if the engine rejected the
     * statement, after sending the error.
     */
    private boolean work(QueryPacket queryPacket, WorkHints hints)
            throws IOException, InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        Job job = engine.submit(demand(queryPacket, hints), done::countDown);
        if (job == null) {
            sendError(
                    TURNED_AWAY,
                    "too many concurrent queries: at most " + config.maxSessions());
            return false;
        }
        boolean gone = false;
        while (!done.await(LOOK_MS, TimeUnit.MILLISECONDS)) {
            if (!gone && clientHasGone()) {
                gone = true;
                entry.released();
                if (config.stopsOnCancel()) {
                    engine.drop(job);
                    end(How.DROPPED);
                    throw new Broken();
                }
            }
        }
        if (job.state() != Job.State.DONE) {
            end(How.CRASHED);
            throw new Broken();
        }
        breakHere(Place.RUN, null);
        if (engine.drawn() < engine.faults().lostAnswers()) {
            entry.effect();
            end(How.ANSWER_LOST);
            while (!clientHasGone() && !engine.isDown()) {
                Thread.sleep(LOOK_MS);
            }
            entry.released();
            throw new Broken();
        }
        return true;
    }

    private static Job.Demand demand(QueryPacket queryPacket, WorkHints workHints) {
        String grant = queryPacket.setting("max_memory_usage");
        String priority = queryPacket.setting("priority");
        double grantMb = grant == null ? 0 : Double.parseDouble(grant) / (1 << 20);
        int p = priority == null ? 1 : HIGHEST_PRIORITY - Integer.parseInt(priority);
        return new Job.Demand(
                workHints.number("work_ms", 1),
                (int) workHints.whole("threads", 1),
                workHints.number("io", 0),
                workHints.number("memory_mb", 1),
                grantMb,
                p,
                workHints.whole("tables", 0),
                workHints.whole("holds", 0) > 0,
                workHints.whole("waits", 0) > 0);
    }

    /** Returns true if the client closed the connection or sent a Cancel. */
    private boolean clientHasGone() {
        try {
            if (in.hasBuffered()) {
                return in.readByte() == ClientPacket.CANCEL.ordinal();
            }
            channel.configureBlocking(false);
            int n = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return n != 0; // end of stream, or a byte that can only be a Cancel
        } catch (IOException e) {
            return true;
        }
    }

    // ---- Response
    private void answerMetrics(QueryPacket queryPacket) throws IOException {
        Map<String, Double> gauges = engine.gauges();
        ByteBuf packet = new ByteBuf();
        packet.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        List<Object> names = new ArrayList<>(gauges.keySet());
        List<Object> values = new ArrayList<>();
        names.forEach(n -> values.add(gauges.get(n)));
        Block.of(
                        new Block.Column("metric", "String", names),
                        new Block.Column("value", "Float64", values))
                .write(queryPacket.compressed() ? Compression.LZ4 : null, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        send(packet);
    }

    private void answer(QueryPacket queryPacket, WorkHints hints, String text, String upper)
            throws IOException, InterruptedException {
        ByteBuf packet = new ByteBuf();
        Compression compression =
                !queryPacket.compressed()
                        ? null
                        : hints.text("compression", "lz4").equals("zstd")
                                ? Compression.ZSTD
                                : Compression.LZ4;
        long rows = 0;
        boolean insert =
                upper.startsWith(
                        "INSERT"); // at these revisions, END_OF_STREAM alone ends an INSERT
        if (!insert) {
            rows = data(hints, text, compression, packet);
        }
        if (hints.whole("error_mid", 0) > 0) {
            send(packet);
            sendError(
                    (int) hints.whole("error_mid", 0),
                    "error requested by the statement within the result");
            return;
        }
        if (!insert) {
            new ProfileInfo(rows, 1, 0, false, 0, false).write(packet);
            events(hints, packet);
        }
        breakHere(Place.END, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        end(How.ANSWERED);
        send(packet);
    }

    /** Writes the result blocks and sends them when the packet is large; the rest stays in it. */
    private long data(WorkHints hints, String text, Compression compression, ByteBuf packet)
            throws IOException, InterruptedException {
        long blocksWanted = hints.whole("blocks", 1);
        int rows = (int) hints.whole("rows", 1);
        Block block =
                text.equalsIgnoreCase("SELECT 1")
                        ? Block.of(new Block.Column("1", "UInt8", List.of(1L)))
                        : made(hints, rows);
        ByteBuf one = new ByteBuf();
        one.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        block.write(compression, one);
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
        for (long i = 0; i < blocksWanted && block.rows() > 0; i++) {
            if (i == blocksWanted / 2) {
                breakAnswer(one, packet);
            }
            packet.append(one.array(), 0, one.size());
            if (packet.size() > READ_BYTES) {
                send(packet);
                packet.clear();
            }
        }
        return rows * blocksWanted;
    }

    private void breakAnswer(ByteBuf one, ByteBuf before) throws IOException, InterruptedException {
        if (engine.faults().isAt(Place.ANSWER)) {
            breakHere(
                    Place.ANSWER,
                    new ByteBuf()
                            .append(before.array(), 0, before.size())
                            .append(one.array(), 0, one.size()));
        }
    }

    private Block made(WorkHints hints, int rows) {
        List<Object> ids = new ArrayList<>();
        List<Object> texts = new ArrayList<>();
        String value = hints.text("value", config.name());
        int width = (int) hints.whole("width", 0);
        String wide =
                width > 0
                        ? value.repeat(width / Math.max(1, value.length()) + 1).substring(0, width)
                        : value;
        for (int i = 0; i < rows; i++) {
            ids.add((long) i);
            texts.add(wide);
        }
        return Block.of(
                new Block.Column("id", "UInt64", ids), new Block.Column("value", "String", texts));
    }

    private void events(WorkHints hints, ByteBuf packet) throws IOException {
        if (!Revision.hasProfileEvents(revision)) {
            return;
        }
        Map<String, Double> gauges = engine.gauges();
        List<Object> names = new ArrayList<>(List.of("WorkMilliseconds", "MemoryMegabytes"));
        List<Object> values =
                new ArrayList<>(List.of(hints.whole("work_ms", 1), hints.whole("memory_mb", 1)));
        gauges.forEach(
                (text, v) -> {
                    names.add(text + "Permille");
                    values.add((long) (v * 1000));
                });
        int rows = names.size();
        packet.putVarUInt(ServerPacket.PROFILE_EVENTS.ordinal()).putString("");
        Block.of(
                        new Block.Column("host_name", "String", repeated(config.name(), rows)),
                        new Block.Column(
                                "current_time",
                                "DateTime",
                                repeated(System.currentTimeMillis() / 1000, rows)),
                        new Block.Column("thread_id", "UInt64", repeated(1L, rows)),
                        new Block.Column(
                                "type", "Enum8('increment' = 1, 'gauge' = 2)", repeated(2L, rows)),
                        new Block.Column("name", "String", names),
                        new Block.Column("value", "Int64", values))
                .write(null, packet);
    }

    private static List<Object> repeated(Object value, int times) {
        return new ArrayList<>(java.util.Collections.nCopies(times, value));
    }
}
