package ashlink.loadtest.client;

import ashlink.wire.Block;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.Compression;
import ashlink.wire.Hello;
import ashlink.wire.PlainPackets;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.Setting;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A connection of the native protocol that runs one statement at a time. */
public final class NativeClient implements AutoCloseable {

    private static final int READ_BYTES = 64 << 10;
    private static final long MS = 1_000_000L;

    private final Socket socket = new Socket();
    private final WireLimits limits;
    private final Compression compression;
    private final int wanted;
    private StreamSource in;
    private BlockReader blocks;
    private OutputStream out;
    private int revision;
    private String serverName = "";

    /** Blocks of the last result; null if blocks are not retained. */
    private List<Block> kept;

    /** Creates a client that is not connected; a null {@code compression} disables compression. */
    public NativeClient(Compression compression, int wantedRevision) {
        this.compression = compression;
        this.wanted = wantedRevision;
        this.limits = WireLimits.DEFAULT;
    }

    /** Returns a connected client of the highest revision, without compression. */
    public static NativeClient connect(InetSocketAddress address, String user) throws IOException {
        NativeClient nativeClient = new NativeClient(null, Revision.HIGHEST);
        nativeClient.open(address, user, "", "default", 5_000);
        return nativeClient;
    }

    /** Connects and logs in. */
    public void open(
            InetSocketAddress address, String user, String password, String database, int timeoutMs)
            throws IOException {
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMs);
            socket.setSoTimeout(timeoutMs);
            in = new StreamSource(socket.getInputStream(), READ_BYTES);
            blocks = new BlockReader(in, limits);
            out = socket.getOutputStream();
            ByteBuf hello = new ByteBuf();
            new Hello.Client("rig", 1, 0, wanted, database, user, password).write(hello);
            hello.writeTo(out);
            ServerPacket kind = ServerPacket.of(in.readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                ServerError serverError = ServerError.read(in, limits);
                throw new IOException(
                        "login rejected: error code "
                                + serverError.code()
                                + ": "
                                + serverError.message());
            }
            Hello.Server server = Hello.Server.read(in, limits);
            serverName = server.displayName();
            revision = Math.min(wanted, server.revision());
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** Returns the display name of the server. */
    public String serverName() {
        return serverName;
    }

    /** Returns the socket, for tests that send malformed data. */
    public Socket socket() {
        return socket;
    }

    /** Retains the blocks of the following results. */
    public NativeClient keepBlocks() {
        kept = new ArrayList<>();
        return this;
    }

    /** Returns the blocks of the last result. */
    public List<Block> blocks() {
        return kept;
    }

    /** Writes a Query packet and the block that ends the external tables. */
    public void sendQuery(String id, String statement, Map<String, String> settings)
            throws IOException {
        ByteBuf packet = new ByteBuf();
        List<Setting> list = new ArrayList<>();
        settings.forEach((k, v) -> list.add(new Setting(k, 0, v)));
        new QueryPacket(
                        id,
                        new ClientInfo("", id, "", "", "", "rig", 1, 0, revision, 0, ""),
                        list,
                        QueryPacket.COMPLETE,
                        compression != null,
                        statement)
                .write(revision, packet);
        data(Block.END, packet);
        packet.writeTo(out);
    }

    private void data(Block block, ByteBuf to) throws IOException {
        to.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        block.write(compression, to);
    }

    /** Writes a block of an insert; {@link Block#END} ends the insert. */
    public void sendBlock(Block block) throws IOException {
        ByteBuf packet = new ByteBuf();
        data(block, packet);
        packet.writeTo(out);
    }

    /** Writes a packet without a body. */
    public void sendBare(ClientPacket kind) throws IOException {
        new ByteBuf().putVarUInt(kind.ordinal()).writeTo(out);
    }

    /** Runs a statement and waits for its end, at most for the timeout. */
    public Reply query(String id, String statement, Map<String, String> settings, long timeoutNs) {
        return insert(id, statement, settings, List.of(), timeoutNs);
    }

    /** Runs a statement and sends the blocks when the server requests data. */
    public Reply insert(
            String id,
            String statement,
            Map<String, String> settings,
            List<Block> rows,
            long timeoutNs) {
        long until = System.nanoTime() + timeoutNs;
        try {
            socket.setSoTimeout(leftMs(until));
            sendQuery(id, statement, settings);
            return await(rows, until);
        } catch (IOException e) {
            return lost(e, 0, 0);
        }
    }

    private static int leftMs(long until) throws SocketTimeoutException {
        long left = (until - System.nanoTime()) / MS;
        if (left <= 0) {
            throw new SocketTimeoutException("client timeout expired");
        }
        return (int) Math.min(Integer.MAX_VALUE, left);
    }

    private static Reply lost(IOException e, long rows, long bytes) {
        Reply.Kind kind =
                e instanceof SocketTimeoutException
                        ? Reply.Kind.TIMED_OUT
                        : e instanceof WireException w
                                        && w.reason() != WireException.Reason.TRUNCATED
                                ? Reply.Kind.GARBLED
                                : Reply.Kind.LOST;
        return new Reply(kind, 0, String.valueOf(e.getMessage()), rows, bytes, System.nanoTime());
    }

    /** Waits for the end of the statement that was sent last. */
    public Reply await(List<Block> insert, long until) {
        long rows = 0;
        long from = in.consumed();
        boolean fed = insert.isEmpty();
        if (kept != null) {
            kept.clear();
        }
        try {
            while (true) {
                socket.setSoTimeout(leftMs(until));
                int first = in.readByteOrEnd();
                if (first < 0) {
                    throw new WireException(WireException.Reason.TRUNCATED, "closed");
                }
                ServerPacket kind = ServerPacket.of(first);
                switch (kind) {
                    case END_OF_STREAM -> {
                        return new Reply(
                                Reply.Kind.SERVED,
                                0,
                                "",
                                rows,
                                in.consumed() - from,
                                System.nanoTime());
                    }
                    case EXCEPTION -> {
                        ServerError serverError = ServerError.read(in, limits);
                        return new Reply(
                                Reply.Kind.EXCEPTION,
                                serverError.code(),
                                serverError.message(),
                                rows,
                                in.consumed() - from,
                                System.nanoTime());
                    }
                    case PROGRESS, PROFILE_INFO, TABLE_COLUMNS, PONG ->
                            PlainPackets.skip(kind, in, revision, limits);
                    default -> {
                        in.readString("table", limits.nameBytes());
                        boolean compressed = kind.isCompressible() && compression != null;
                        BlockReader.Size size = readBlock(kind, compressed);
                        rows += kind == ServerPacket.DATA ? size.rows() : 0;
                        if (!fed && kind == ServerPacket.DATA && size.rows() == 0) {
                            for (Block block : insert) {
                                sendBlock(block);
                            }
                            sendBlock(Block.END);
                            fed = true;
                        }
                    }
                }
            }
        } catch (IOException e) {
            return lost(e, rows, in.consumed() - from);
        }
    }

    private BlockReader.Size readBlock(ServerPacket kind, boolean compressed) throws IOException {
        if (kept == null || kind != ServerPacket.DATA) {
            return blocks.skip(compressed);
        }
        Block block = blocks.read(compressed, 1 << 20);
        kept.add(block);
        return new BlockReader.Size(block.rows(), block.columns().size());
    }

    /** Returns whether the server has sent data after the end of the last statement. */
    public boolean hasStray() throws IOException {
        return in.hasBuffered() || socket.getInputStream().available() > 0;
    }

    /** Returns whether the server has closed the connection or sent unexpected data. */
    public boolean isClosedByPeer() {
        try {
            socket.setSoTimeout(1);
            in.readByteOrEnd();
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is unusable in either case.
        }
    }
}
