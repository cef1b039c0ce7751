package ashlink.router.frontend;

import ashlink.wire.Blocks;
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
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One client's connection, read by its own thread. Its states: login; idle; a statement is open; an
 * insert is being fed; what is left of an insert that was answered early is passed over; closed.
 */
final class NativeClientConnection implements Runnable {

    private static final Logger LOG = LoggerFactory.getLogger(NativeClientConnection.class);
    private static final int READ_BYTES = 16 << 10;
    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final int VERSION_MAJOR = 22;
    private static final int VERSION_MINOR = 4;

    private final ListenerContext context;
    private final CredentialCache logins;
    private final Socket socket;
    private final NativeResponseChannel client;
    private final StreamSource in;
    private final Blocks blocks;
    private final Runnable whenClosed;
    private Hello.Client hello;
    private int revision;
    private RequestExchange exchange;
    private boolean fed = true;

    NativeClientConnection(
            ListenerContext context, CredentialCache logins, Socket socket, Runnable whenClosed)
            throws IOException {
        this.context = context;
        this.logins = logins;
        this.socket = socket;
        this.client = new NativeResponseChannel(socket);
        this.in = new StreamSource(socket.getInputStream(), READ_BYTES);
        this.blocks = new Blocks(in, context.limits());
        this.whenClosed = whenClosed;
    }

    @Override
    public void run() {
        try {
            if (login()) {
                socket.setSoTimeout(
                        (int)
                                Math.min(
                                        Integer.MAX_VALUE,
                                        context.config().bounds().idleClientNs() / MS));
                while (takePacket()) {
                    // until the client goes
                }
            }
        } catch (WireException e) {
            complain(e);
        } catch (IOException e) {
            LOG.debug("client {} is gone: {}", client.peer(), e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (exchange != null && !exchange.isDone()) {
                exchange.vanished();
            }
            client.close();
            whenClosed.run();
        }
    }

    /**
     * Tells the client what was wrong, unless an answer is under way, which an exception would cut
     * in two.
     */
    private void complain(WireException failure) {
        LOG.atInfo()
                .addKeyValue("client", client.peer())
                .addKeyValue("reason", failure.reason())
                .log(failure.getMessage());
        try {
            if (exchange != null && !exchange.isDone()) {
                exchange.refuseInput(failure);
            } else if (failure.reason() != WireException.Reason.TRUNCATED) {
                client.write(ResponseWriter.wire(failure));
            }
        } catch (IOException gone) {
            LOG.debug("client {} is gone", client.peer());
        }
    }

    // ---- Login
    private boolean login() throws IOException, InterruptedException {
        Future<?> cut =
                context.timer()
                        .schedule(
                                client::close,
                                context.config().bounds().loginNs(),
                                TimeUnit.NANOSECONDS);
        int kind = in.readByteOrEnd();
        if (kind < 0) {
            return false;
        }
        if (ClientPacket.of(kind) != ClientPacket.HELLO) {
            throw new WireException(WireException.Reason.MALFORMED, "the first packet is no Hello");
        }
        hello = Hello.Client.read(in, WireLimits.LOGIN);
        revision = Math.min(Revision.HIGHEST, hello.revision());
        if (revision < Revision.LOWEST) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "revision "
                            + hello.revision()
                            + " is too old, "
                            + Revision.LOWEST
                            + " is the least");
        }
        boolean known = logins.check(context.config().users(), hello.user(), hello.password());
        cut.cancel(false);
        if (!known) {
            LOG.atInfo()
                    .addKeyValue("client", client.peer())
                    .addKeyValue("user", hello.user())
                    .log("login refused");
            client.write(ResponseWriter.login());
            return false;
        }
        ByteBuf answer = new ByteBuf();
        new Hello.Server(
                        "ashlink",
                        VERSION_MAJOR,
                        VERSION_MINOR,
                        Revision.HIGHEST,
                        "UTC",
                        context.config().name(),
                        0)
                .write(revision, answer);
        client.write(answer);
        return true;
    }

    // ---- Packets
    private boolean takePacket() throws IOException, InterruptedException {
        int kind = in.readByteOrEnd();
        if (kind < 0) {
            return false;
        }
        switch (ClientPacket.of(kind)) {
            case PING -> pong();
            case QUERY -> takeQuery();
            case DATA -> takeData();
            case CANCEL -> {
                if (exchange != null && !exchange.isDone()) {
                    exchange.cancel();
                }
            }
            case HELLO -> throw new WireException(WireException.Reason.MALFORMED, "a second Hello");
            default -> throw new IllegalStateException();
        }
        return true;
    }

    private void pong() throws IOException, InterruptedException {
        if (exchange != null) {
            exchange.awaitDone(); // a Pong within an answer would be out of place
        }
        client.write(new ByteBuf().putVarUInt(ServerPacket.PONG.ordinal()));
    }

    /**
     * A block of the insert in hand; what is left of one that was answered before its end is passed
     * over.
     */
    private void takeData() throws IOException, InterruptedException {
        ByteBuf packet = new ByteBuf(context.limits().packetBytes());
        boolean compressed = exchange != null && exchange.query().compressed();
        Blocks.Size size = readData(packet, compressed);
        InsertFeed feed = exchange == null || fed ? null : exchange.feed();
        if (feed != null) {
            fed = size.isEnd();
            feed.put(java.util.Arrays.copyOf(packet.array(), packet.size()), fed);
        }
    }

    /** Reads the rest of a Data packet and appends the whole of it. */
    private Blocks.Size readData(ByteBuf to, boolean compressed) throws IOException {
        to.putVarUInt(ClientPacket.DATA.ordinal());
        in.startTap(to);
        in.readString("table", context.limits().nameBytes());
        Blocks.Size size = blocks.skip(compressed);
        in.endTap();
        return size;
    }

    private void takeQuery() throws IOException, InterruptedException {
        if (exchange != null) {
            exchange.awaitDone(); // sent early: it waits for its turn, and its bytes in the socket
        }
        QueryPacket query = QueryPacket.read(in, revision, context.limits());
        ByteBuf external =
                new ByteBuf(context.config().bounds().heldInsert(), context.insertQuota());
        while (!readTable(external, query.compressed())) {
            // tables until the empty block
        }
        byte[] tables = java.util.Arrays.copyOf(external.array(), external.size());
        external.release();
        if (query.stage() != QueryPacket.COMPLETE) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "stage " + query.stage() + " is only for servers");
        }
        begin(query, tables);
    }

    private boolean readTable(ByteBuf to, boolean compressed) throws IOException {
        int kind = in.readByte();
        if (ClientPacket.of(kind) != ClientPacket.DATA) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "a query is followed by a packet of kind " + kind);
        }
        return readData(to, compressed).isEnd();
    }

    // ---- Statements
    private void begin(QueryPacket query, byte[] tables) {
        ClientInfo by = query.client();
        ClientInfo info =
                new ClientInfo(
                        hello.user(),
                        query.id(),
                        client.peer(),
                        by.osUser(),
                        by.host(),
                        by.name().isEmpty() ? hello.name() : by.name(),
                        by.major(),
                        by.minor(),
                        by.revision(),
                        by.patch(),
                        by.quotaKey());
        QueryPacket named =
                new QueryPacket(
                        query.id(),
                        info,
                        query.settings(),
                        query.stage(),
                        query.compressed(),
                        query.statement());
        exchange =
                RequestAdmission.begin(
                        context, client, revision, hello.user(), hello.database(), named, tables);
        fed = exchange.feed() == null;
    }
}
