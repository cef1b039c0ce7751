package ashlink.router.frontend;

import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.Hello;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.ServerPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client connection of the native protocol, read by a thread of its own. The connection is in one
 * of these states: login; idle; a statement is open; the client sends the data of an insert; the
 * rest of the data is discarded because the insert already has its response; closed.
 */
final class NativeClientConnection implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(NativeClientConnection.class);
    private static final int READ_BYTES = 16 << 10;
    private static final long NS_PER_MS = 1_000_000L;
    private static final int VERSION_MAJOR = 22;
    private static final int VERSION_MINOR = 4;

    private final ListenerContext context;
    private final CredentialCache credentials;
    private final Socket socket;
    private final NativeResponseChannel client;
    private final StreamSource in;
    private final DataPacketReader dataPackets;
    private final Runnable onClosed;
    private Hello.Client hello;
    private int revision;

    /** Current or last statement; null before the first statement. */
    private RequestExchange exchange;

    /** Whether the client has sent all data of the current statement, if it takes any. */
    private boolean dataComplete = true;

    NativeClientConnection(
            ListenerContext context, CredentialCache credentials, Socket socket, Runnable onClosed)
            throws IOException {
        this.context = context;
        this.credentials = credentials;
        this.socket = socket;
        this.client = new NativeResponseChannel(socket);
        this.in = new StreamSource(socket.getInputStream(), READ_BYTES);
        this.dataPackets = new DataPacketReader(in, context.limits());
        this.onClosed = onClosed;
    }

    @Override
    public void run() {
        try {
            if (login()) {
                socket.setSoTimeout(
                        (int)
                                Math.min(
                                        Integer.MAX_VALUE,
                                        context.config().resourceLimits().clientIdleTimeoutNs()
                                                / NS_PER_MS));
                boolean open = true;
                while (open) {
                    open = handlePacket();
                }
            }
        } catch (WireException e) {
            reportProtocolError(e);
        } catch (IOException e) {
            LOG.debug("client disconnected client={} error=\"{}\"", client.peer(), e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (exchange != null && !exchange.isDone()) {
                exchange.clientDisconnected();
            }
            client.close();
            onClosed.run();
        }
    }

    /** Reports an error, unless the packet would corrupt a response in progress. */
    private void reportProtocolError(WireException failure) {
        LOG.atInfo()
                .addKeyValue("client", client.peer())
                .addKeyValue("reason", failure.reason())
                .addKeyValue("error", failure.getMessage())
                .log("client violated the protocol");
        try {
            if (exchange != null && !exchange.isDone()) {
                exchange.rejectInput(failure);
            } else if (failure.reason() != WireException.Reason.TRUNCATED) {
                client.write(ClientErrors.protocolViolation(failure));
            }
        } catch (IOException e) {
            LOG.debug("client disconnected client={} error=\"{}\"", client.peer(), e.toString());
        }
    }

    // Login

    private boolean login() throws IOException, InterruptedException {
        Future<?> loginTimeout =
                context.timer()
                        .schedule(
                                client::close,
                                context.config().resourceLimits().loginTimeoutNs(),
                                TimeUnit.NANOSECONDS);
        int kind = in.readByteOrEnd();
        if (kind < 0) {
            return false;
        }
        readHello(kind);
        boolean accepted =
                credentials.check(context.config().users(), hello.user(), hello.password());
        loginTimeout.cancel(false);
        if (!accepted) {
            LOG.atInfo()
                    .addKeyValue("client", client.peer())
                    .addKeyValue("user", hello.user())
                    .log("login rejected");
            client.write(ClientErrors.loginFailed());
            return false;
        }
        writeHello();
        return true;
    }

    private void readHello(int kind) throws IOException {
        if (ClientPacket.of(kind) != ClientPacket.HELLO) {
            throw new WireException(WireException.Reason.MALFORMED, "first packet is not Hello");
        }
        hello = Hello.Client.read(in, WireLimits.LOGIN);
        revision = Math.min(Revision.HIGHEST, hello.revision());
        if (revision < Revision.LOWEST) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unsupported revision " + hello.revision() + ": at least " + Revision.LOWEST);
        }
    }

    private void writeHello() throws IOException {
        ByteBuf packet = new ByteBuf();
        new Hello.Server(
                        "ashlink",
                        VERSION_MAJOR,
                        VERSION_MINOR,
                        Revision.HIGHEST,
                        "UTC",
                        context.config().name(),
                        0)
                .write(revision, packet);
        client.write(packet);
    }

    // Packets

    /** Handles the next packet; returns false at the end of the stream. */
    private boolean handlePacket() throws IOException, InterruptedException {
        int kind = in.readByteOrEnd();
        if (kind < 0) {
            return false;
        }
        switch (ClientPacket.of(kind)) {
            case PING -> handlePing();
            case QUERY -> handleQuery();
            case DATA -> handleData();
            case CANCEL -> {
                if (exchange != null && !exchange.isDone()) {
                    exchange.cancel();
                }
            }
            case HELLO -> throw new WireException(WireException.Reason.MALFORMED, "repeated Hello");
            default -> throw new IllegalStateException("no handler for packet " + kind);
        }
        return true;
    }

    private void handlePing() throws IOException, InterruptedException {
        if (exchange != null) {
            // A Pong packet must not be written between the packets of a response.
            exchange.awaitDone();
        }
        client.write(new ByteBuf().putVarUInt(ServerPacket.PONG.ordinal()));
    }

    /**
     * Handles a data block of the current insert; discards the block if the insert already has its
     * response.
     */
    private void handleData() throws IOException, InterruptedException {
        ByteBuf packet = new ByteBuf(context.limits().packetBytes());
        boolean compressed = exchange != null && exchange.query().compressed();
        BlockReader.Size size = dataPackets.read(packet, compressed);
        InsertFeed feed = exchange == null || dataComplete ? null : exchange.feed();
        if (feed != null) {
            dataComplete = size.isEnd();
            feed.put(Arrays.copyOf(packet.array(), packet.size()), dataComplete);
        }
    }

    private void handleQuery() throws IOException, InterruptedException {
        if (exchange != null) {
            // The client sent the query early; its bytes remain in the socket buffer.
            exchange.awaitDone();
        }
        QueryPacket query = QueryPacket.read(in, revision, context.limits());
        byte[] encodedTables =
                dataPackets.readExternalTables(
                        query.compressed(),
                        context.config().resourceLimits().insertBufferBytes(),
                        context.insertQuota());
        if (query.stage() != QueryPacket.COMPLETE) {
            throw new WireException(
                    WireException.Reason.MALFORMED, "unsupported query stage " + query.stage());
        }
        submit(query, encodedTables);
    }

    // Statements

    private void submit(QueryPacket query, byte[] externalTables) {
        QueryPacket verified =
                new QueryPacket(
                        query.id(),
                        clientInfo(query),
                        query.settings(),
                        query.stage(),
                        query.compressed(),
                        query.statement());
        exchange =
                RequestAdmission.begin(
                        context,
                        client,
                        revision,
                        hello.user(),
                        hello.database(),
                        verified,
                        externalTables);
        dataComplete = exchange.feed() == null;
    }

    /** Returns the client information of a query, with the verified user and address. */
    private ClientInfo clientInfo(QueryPacket query) {
        ClientInfo reported = query.client();
        return new ClientInfo(
                hello.user(),
                query.id(),
                client.peer(),
                reported.osUser(),
                reported.host(),
                reported.name().isEmpty() ? hello.name() : reported.name(),
                reported.major(),
                reported.minor(),
                reported.revision(),
                reported.patch(),
                reported.quotaKey());
    }
}
