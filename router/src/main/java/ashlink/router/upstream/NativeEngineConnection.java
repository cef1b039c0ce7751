package ashlink.router.upstream;

import ashlink.config.RouterConfig.EngineLogin;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.Hello;
import ashlink.wire.PacketSkipper;
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
 * Connection to an engine after the handshake. At most one attempt uses the connection at a time;
 * {@link #close} may be called on any thread.
 */
public final class NativeEngineConnection implements AutoCloseable {

    private static final long NS_PER_MS = 1_000_000L;
    private static final int READ_BYTES = 128 << 10;
    private static final int VERSION_MAJOR = 22;
    private static final int VERSION_MINOR = 4;

    private final NativeConnectionPool pool;
    private final String engine;
    private final String database;
    private final SocketChannel channel;
    private final StreamSource in;
    private final OutputStream out;
    private final BlockReader blocks;
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
        this.blocks = new BlockReader(in, limits);
    }

    /** Connects and performs the handshake; the timeout covers both. */
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
            long startNs = System.nanoTime();
            channel.socket().connect(address, timeoutMs);
            NativeEngineConnection connection =
                    new NativeEngineConnection(pool, engine, database, channel, limits);
            int remainingMs = timeoutMs - (int) ((System.nanoTime() - startNs) / NS_PER_MS);
            channel.socket().setSoTimeout(Math.max(1, remainingMs));
            connection.handshake(routerName, login);
            channel.socket().setSoTimeout(0);
            return connection;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void handshake(String routerName, EngineLogin login) throws IOException {
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
                            + " rejected the login: error code "
                            + serverError.code()
                            + ": "
                            + serverError.message());
        } else if (kind != ServerPacket.HELLO) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unexpected packet " + kind + " of engine " + engine + ": expected Hello");
        }
        Hello.Server server = Hello.Server.read(in, limits);
        revision = Math.min(Revision.HIGHEST, server.revision());
        if (revision < Revision.SETTINGS_AS_STRINGS) {
            throw new IOException(
                    "unsupported revision "
                            + server.revision()
                            + " of engine "
                            + engine
                            + ": at least "
                            + Revision.SETTINGS_AS_STRINGS);
        }
    }

    /** Returns the name of the engine. */
    public String engine() {
        return engine;
    }

    NativeConnectionPool pool() {
        return pool;
    }

    /** Returns the default database of the statements on this connection. */
    String database() {
        return database;
    }

    /** Returns the protocol revision that both sides support. */
    public int revision() {
        return revision;
    }

    /** Returns the stream of bytes from the engine. */
    public StreamSource in() {
        return in;
    }

    /** Returns the reader of blocks from the engine. */
    public BlockReader blocks() {
        return blocks;
    }

    /**
     * Writes all bytes.
     *
     * @throws IOException if some bytes were not passed to the operating system
     */
    public void write(ByteBuf bytes) throws IOException {
        bytes.writeTo(out);
    }

    /**
     * Writes all bytes.
     *
     * @throws IOException if some bytes were not passed to the operating system
     */
    public void write(byte[] bytes) throws IOException {
        out.write(bytes, 0, bytes.length);
    }

    /** Returns whether unread bytes from the engine are available. */
    public boolean hasUnreadBytes() throws IOException {
        return in.hasBuffered() || channel.socket().getInputStream().available() > 0;
    }

    /** Sets the read timeout; 0 disables it. */
    void setReadTimeout(int timeoutMs) throws IOException {
        channel.socket().setSoTimeout(timeoutMs);
    }

    /** Skips a packet that contains no block and does not end a response. */
    void skipPacket(ServerPacket kind) throws IOException {
        PacketSkipper.skip(kind, in, revision, limits);
    }

    /** Returns false if the engine closed the connection or sent unexpected bytes. */
    boolean isReusable() {
        if (in.hasBuffered()) {
            return false;
        }
        try {
            channel.configureBlocking(false);
            int readBytes = channel.read(ByteBuffer.allocate(1));
            channel.configureBlocking(true);
            return readBytes == 0;
        } catch (IOException e) {
            return false;
        }
    }

    void setIdleSinceNs(long nowNs) {
        idleSinceNs = nowNs;
    }

    long idleSinceNs() {
        return idleSinceNs;
    }

    @Override
    public void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // The socket is not used again, so a failed close has no effect.
        }
    }
}
