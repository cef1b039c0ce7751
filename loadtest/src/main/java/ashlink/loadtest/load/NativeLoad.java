package ashlink.loadtest.load;

import ashlink.config.ScenarioConfig.LoadClass;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.wire.Block;
import ashlink.wire.Revision;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/** Sends queries over the native protocol and reuses idle connections. */
final class NativeLoad {

    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final Block ROWS =
            Block.of(
                    new Block.Column("id", "UInt64", List.of(1L, 2L)),
                    new Block.Column("value", "String", List.of("a", "b")));

    /** The end of an attempt; {@code sent} is false if nothing can have reached the router. */
    record Result(Reply reply, boolean sent, long startNs, boolean hasDataAfterReply) {}

    private final Function<String, InetSocketAddress> addresses;
    private final Map<String, ArrayDeque<NativeClient>> idleConnections = new ConcurrentHashMap<>();

    NativeLoad(Function<String, InetSocketAddress> addresses) {
        this.addresses = addresses;
    }

    Result run(String router, Arrival arrival, String tag, long timeoutNs) {
        LoadClass loadClass = arrival.loadClass();
        NativeClient nativeClient = null;
        long startNs = System.nanoTime();
        Reply reply;
        boolean sent = false;
        boolean hasDataAfterReply = false;
        try {
            nativeClient = borrowConnection(router, loadClass.user());
            startNs = System.nanoTime();
            nativeClient.sendQuery(tag, arrival.statementText(tag), arrival.settings(timeoutNs));
            sent = true;
            reply =
                    nativeClient.await(
                            loadClass.write() ? List.of(ROWS) : List.of(), startNs + timeoutNs);
            hasDataAfterReply = reply.isFinal() && nativeClient.hasUnexpectedData();
        } catch (IOException e) {
            reply =
                    new Reply(
                            Reply.Kind.LOST,
                            0,
                            String.valueOf(e.getMessage()),
                            0,
                            0,
                            System.nanoTime());
        }
        if (nativeClient != null && reply.isFinal() && !hasDataAfterReply) {
            returnConnection(router, loadClass.user(), nativeClient);
        } else if (nativeClient != null) {
            nativeClient.close();
        }
        return new Result(reply, sent, startNs, hasDataAfterReply);
    }

    private void returnConnection(String router, String user, NativeClient nativeClient) {
        idleConnections.computeIfAbsent(router + "/" + user, name -> new ArrayDeque<>());
        synchronized (idleConnections) {
            idleConnections.get(router + "/" + user).push(nativeClient);
        }
    }

    /** Returns an idle connection that is still open, or a new one. */
    private NativeClient borrowConnection(String router, String user) throws IOException {
        while (true) {
            NativeClient nativeClient;
            synchronized (idleConnections) {
                ArrayDeque<NativeClient> connections = idleConnections.get(router + "/" + user);
                nativeClient = connections == null ? null : connections.poll();
            }
            if (nativeClient == null) {
                NativeClient newClient = new NativeClient(null, Revision.HIGHEST);
                newClient.open(addresses.apply(router), user, "", "default", CONNECT_TIMEOUT_MS);
                return newClient;
            }
            if (!nativeClient.isClosedByPeer()) {
                return nativeClient;
            }
            nativeClient.close();
        }
    }

    /** Closes the idle connections. */
    void close() {
        idleConnections.values().forEach(connections -> connections.forEach(NativeClient::close));
    }
}
