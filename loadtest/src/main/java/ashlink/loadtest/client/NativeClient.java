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

/** A connection of the native protocol that runs one statement at a time. */
public final class NativeClient implements AutoCloseable {

    private static final int READ_BYTES = 64 << 10;
    private static final long NS_PER_MS = 1_000_000L;

    private final Socket socket = new Socket();
    private final WireLimits limits;
    private final Compression compression;
    private final int requestedRevision;
    private StreamSource in;
    private BlockReader blocks;
    private OutputStream out;
    private int revision;
    private String serverName = "";

    /** Blocks of the last result; null if blocks are not retained. */
    private List<Block> retainedBlocks;

    /** Creates a client that is not connected; a null {@code compression} disables compression. */
    public NativeClient(Compression compression, int requestedRevision) {
        this.compression = compression;
        this.requestedRevision = requestedRevision;
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
            ByteBuf packet = new ByteBuf();
            new Hello.Client("rig", 1, 0, requestedRevision, database, user, password)
                    .write(packet);
            packet.writeTo(out);
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
            revision = Math.min(requestedRevision, server.revision());
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
    public NativeClient retainBlocks() {
        retainedBlocks = new ArrayList<>();
        return this;
    }

    /** Returns the blocks of the last result. */
    public List<Block> blocks() {
        return retainedBlocks;
    }

    /** Writes a Query packet and the block that ends the external tables. */
    public void sendQuery(String id, String statement, Map<String, String> settings)
            throws IOException {
        ByteBuf packet = new ByteBuf();
        List<Setting> settingList = new ArrayList<>();
        settings.forEach(
                (settingName, value) -> settingList.add(new Setting(settingName, 0, value)));
        new QueryPacket(
                        id,
                        new ClientInfo("", id, "", "", "", "rig", 1, 0, revision, 0, ""),
                        settingList,
                        QueryPacket.COMPLETE,
                        compression != null,
                        statement)
                .write(revision, packet);
        writeData(Block.END, packet);
        packet.writeTo(out);
    }

    private void writeData(Block block, ByteBuf target) throws IOException {
        target.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
        block.write(compression, target);
    }

    /** Writes a block of an insert; {@link Block#END} ends the insert. */
    public void sendBlock(Block block) throws IOException {
        ByteBuf packet = new ByteBuf();
        writeData(block, packet);
        packet.writeTo(out);
    }

    /** Writes a packet without a body. */
    public void sendPacketType(ClientPacket kind) throws IOException {
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
        long untilNs = System.nanoTime() + timeoutNs;
        try {
            socket.setSoTimeout(remainingMs(untilNs));
            sendQuery(id, statement, settings);
            return await(rows, untilNs);
        } catch (IOException e) {
            return failureReply(e, 0, 0);
        }
    }

    private static int remainingMs(long untilNs) throws SocketTimeoutException {
        long remaining = (untilNs - System.nanoTime()) / NS_PER_MS;
        if (remaining <= 0) {
            throw new SocketTimeoutException("client timeout expired");
        }
        return (int) Math.min(Integer.MAX_VALUE, remaining);
    }

    private static Reply failureReply(IOException failure, long rows, long bytes) {
        Reply.Kind kind =
                failure instanceof SocketTimeoutException
                        ? Reply.Kind.TIMED_OUT
                        : failure instanceof WireException wireException
                                        && wireException.reason() != WireException.Reason.TRUNCATED
                                ? Reply.Kind.GARBLED
                                : Reply.Kind.LOST;
        return new Reply(
                kind, 0, String.valueOf(failure.getMessage()), rows, bytes, System.nanoTime());
    }

    /** Waits for the end of the statement that was sent last. */
    public Reply await(List<Block> insert, long untilNs) {
        long rows = 0;
        long firstByte = in.consumed();
        boolean dataSent = insert.isEmpty();
        if (retainedBlocks != null) {
            retainedBlocks.clear();
        }
        try {
            while (true) {
                ServerPacket kind = readPacketType(untilNs);
                switch (kind) {
                    case END_OF_STREAM -> {
                        return reply(Reply.Kind.SERVED, 0, "", rows, firstByte);
                    }
                    case EXCEPTION -> {
                        ServerError serverError = ServerError.read(in, limits);
                        return reply(
                                Reply.Kind.EXCEPTION,
                                serverError.code(),
                                serverError.message(),
                                rows,
                                firstByte);
                    }
                    case PROGRESS, PROFILE_INFO, TABLE_COLUMNS, PONG ->
                            PacketSkipper.skip(kind, in, revision, limits);
                    default -> {
                        BlockReader.Size size = readBlock(kind);
                        rows += kind == ServerPacket.DATA ? size.rows() : 0;
                        if (!dataSent && kind == ServerPacket.DATA && size.rows() == 0) {
                            sendData(insert);
                            dataSent = true;
                        }
                    }
                }
            }
        } catch (IOException e) {
            return failureReply(e, rows, in.consumed() - firstByte);
        }
    }

    private Reply reply(Reply.Kind kind, int code, String message, long rows, long firstByte) {
        return new Reply(kind, code, message, rows, in.consumed() - firstByte, System.nanoTime());
    }

    private void sendData(List<Block> insert) throws IOException {
        for (Block block : insert) {
            sendBlock(block);
        }
        sendBlock(Block.END);
    }

    private ServerPacket readPacketType(long untilNs) throws IOException {
        socket.setSoTimeout(remainingMs(untilNs));
        int packetType = in.readByteOrEnd();
        if (packetType < 0) {
            throw new WireException(WireException.Reason.TRUNCATED, "closed");
        }
        return ServerPacket.of(packetType);
    }

    private BlockReader.Size readBlock(ServerPacket kind) throws IOException {
        in.readString("table", limits.nameBytes());
        boolean compressed = kind.isCompressible() && compression != null;
        if (retainedBlocks == null || kind != ServerPacket.DATA) {
            return blocks.skip(compressed);
        }
        Block block = blocks.read(compressed, 1 << 20);
        retainedBlocks.add(block);
        return new BlockReader.Size(block.rows(), block.columns().size());
    }

    /** Returns whether the server has sent data after the end of the last statement. */
    public boolean hasUnexpectedData() throws IOException {
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
