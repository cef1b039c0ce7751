package ashlink.loadtest.client;

import ashlink.wire.Block;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.Compression;
import ashlink.wire.Hello;
import ashlink.wire.PacketSkipper;
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

/** One connection; statements one after the other. */
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

    /** Blocks of the last result, where they are kept. */
    private List<Block> kept;

    /** A client that is not connected; {@code compression} null is none. */
    public NativeClient(Compression compression, int wantedRevision) {
        this.compression = compression;
        this.wanted = wantedRevision;
        this.limits = WireLimits.DEFAULT;
    }

    /** A connected client of the highest revision, without compression. */
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
                        "login refused: code " + serverError.code() + " " + serverError.message());
            }
            Hello.Server server = Hello.Server.read(in, limits);
            serverName = server.displayName();
            revision = Math.min(wanted, server.revision());
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** What the server calls itself. */
    public String serverName() {
        return serverName;
    }

    /** The raw socket, for tests that misbehave. */
    public Socket socket() {
        return socket;
    }

    /** Keeps the blocks of results from now on. */
    public NativeClient keepBlocks() {
        kept = new ArrayList<>();
        return this;
    }

    /** Blocks of the last result. */
    public List<Block> blocks() {
        return kept;
    }

    /** Writes a Query packet and the end of external tables. */
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

    /** Writes a block of an insert; {@link Block#END} ends it. */
    public void sendBlock(Block block) throws IOException {
        ByteBuf packet = new ByteBuf();
        data(block, packet);
        packet.writeTo(out);
    }

    /** Writes a packet that has only its kind. */
    public void sendBare(ClientPacket kind) throws IOException {
        new ByteBuf().putVarUInt(kind.ordinal()).writeTo(out);
    }

    /** Runs a statement and waits for its end, at most for that time. */
    public Reply query(String id, String statement, Map<String, String> settings, long timeoutNs) {
        return insert(id, statement, settings, List.of(), timeoutNs);
    }

    /** Runs a statement; where the server asks for data it gets those blocks and the end. */
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
            throw new SocketTimeoutException("the client's time is up");
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

    /** Waits for the end of the statement that was sent. */
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
                            PacketSkipper.skip(kind, in, revision, limits);
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

    /** True if the server has sent something that belongs to no statement. */
    public boolean hasStray() throws IOException {
        return in.hasBuffered() || socket.getInputStream().available() > 0;
    }

    /** True if the server has closed the connection, or sent what nobody asked for. */
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
            // it is gone either way
        }
    }
}
