package ashlink.router.upstream;

import ashlink.config.RouterConfig.EngineLogin;
import ashlink.wire.Blocks;
import ashlink.wire.ByteBuf;
import ashlink.wire.Hello;
import ashlink.wire.PlainPackets;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/**
 * A connection to an engine that has said Hello. One attempt uses it at a time; closing it is safe
 * from any thread.
 */
public final class NativeEngineConnection implements AutoCloseable {

    private static final int READ_BYTES = 128 << 10;
    private static final int VERSION_MAJOR = 22;
    private static final int VERSION_MINOR = 4;

    private final NativeConnectionPool pool;
    private final String engine;
    private final String database;
    private final SocketChannel channel;
    private final StreamSource in;
    private final OutputStream out;
    private final Blocks blocks;
    private final WireLimits limits;
    private int revision;
    private long idleSinceNs;

    private NativeEngineConnection(
            NativeConnectionPool pool,
            String engine,
            String database,
            SocketChannel channel,
            WireLimits limits)
            throws IOException {
        this.pool = pool;
        this.engine = engine;
        this.database = database;
        this.channel = channel;
        this.limits = limits;
        this.in = new StreamSource(channel.socket().getInputStream(), READ_BYTES);
        this.out = channel.socket().getOutputStream();
        this.blocks = new Blocks(in, limits);
    }

    /** Connects and says Hello; both within that time. */
    static NativeEngineConnection open(
            NativeConnectionPool pool,
            String engine,
            InetSocketAddress address,
            String database,
            String routerName,
            EngineLogin login,
            int timeoutMs,
            WireLimits limits)
            throws IOException {
        SocketChannel channel = SocketChannel.open();
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            long from = System.nanoTime();
            channel.socket().connect(address, timeoutMs);
            NativeEngineConnection connection =
                    new NativeEngineConnection(pool, engine, database, channel, limits);
            int left = timeoutMs - (int) ((System.nanoTime() - from) / 1_000_000);
            channel.socket().setSoTimeout(Math.max(1, left));
            connection.hello(routerName, login);
            channel.socket().setSoTimeout(0);
            return connection;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void hello(String routerName, EngineLogin login) throws IOException {
        ByteBuf hello = new ByteBuf();
        new Hello.Client(
                        "ashlink " + routerName,
                        VERSION_MAJOR,
                        VERSION_MINOR,
                        Revision.HIGHEST,
                        database,
                        login.user(),
                        login.password())
                .write(hello);
        hello.writeTo(out);
        ServerPacket kind = ServerPacket.of(in.readVarUInt());
        if (kind == ServerPacket.EXCEPTION) {
            ServerError serverError = ServerError.read(in, limits);
            throw new IOException(
                    "engine "
                            + engine
                            + " refuses the login: code "
                            + serverError.code()
                            + " "
                            + serverError.message());
        } else if (kind != ServerPacket.HELLO) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "engine " + engine + " answers Hello with " + kind);
        }
        Hello.Server server = Hello.Server.read(in, limits);
        revision = Math.min(Revision.HIGHEST, server.revision());
        if (revision < Revision.SETTINGS_AS_STRINGS) {
            throw new IOException(
                    "engine "
                            + engine
                            + " speaks revision "
                            + server.revision()
                            + ", "
                            + Revision.SETTINGS_AS_STRINGS
                            + " is the least");
        }
    }

    /** Name of the engine. */
    public String engine() {
        return engine;
    }

    NativeConnectionPool pool() {
        return pool;
    }

    /** The default database of its statements. */
    String database() {
        return database;
    }

    /** The lesser of both revisions. */
    public int revision() {
        return revision;
    }

    /** What it sends. */
    public StreamSource in() {
        return in;
    }

    /** Blocks of what it sends. */
    public Blocks blocks() {
        return blocks;
    }

    /** Writes all of it; an exception means that its last byte was not handed over. */
    public void write(ByteBuf bytes) throws IOException {
        bytes.writeTo(out);
    }

    /** Writes all of it; an exception means that its last byte was not handed over. */
    public void write(byte[] bytes) throws IOException {
        out.write(bytes, 0, bytes.length);
    }

    /** True where the engine has sent something that was not read. */
    public boolean hasSomething() throws IOException {
        return in.hasBuffered() || channel.socket().getInputStream().available() > 0;
    }

    /** Longest wait for a byte; 0 is for ever. */
    void timeout(int ms) throws IOException {
        channel.socket().setSoTimeout(ms);
    }

    /** Passes over a packet that has neither a block nor an end in it. */
    void skipPlain(ServerPacket kind) throws IOException {
        PlainPackets.skip(kind, in, revision, limits);
    }

    /**
     * False where the engine has closed it, or sent what nobody asked for: it is not used again
     * then.
     */
    boolean isQuiet() {
        if (in.hasBuffered()) {
            return false;
        }
        try {
            channel.configureBlocking(false);
            int n = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return n == 0;
        } catch (IOException e) {
            return false;
        }
    }

    void idleSince(long now) {
        idleSinceNs = now;
    }

    long idleSince() {
        return idleSinceNs;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // it is gone either way
        }
    }
}
