package ashlink.control.member;

import ashlink.control.tls.Identity;
import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Outgoing connections to other routers by name. Not thread-safe. */
final class PeerConnections implements AutoCloseable {

    private final Identity identity;
    private final Map<String, PeerConnection> connections = new HashMap<>();

    PeerConnections(Identity identity) {
        this.identity = identity;
    }

    /** Adds a peer with its address. */
    void add(String peer, InetSocketAddress address) {
        connections.put(peer, new PeerConnection(identity, peer, address));
    }

    /** Returns a live view of the names of all peers. */
    Set<String> peers() {
        return connections.keySet();
    }

    /** Queues a frame for a peer; does nothing if the peer is unknown. */
    void send(String peer, JsonNode frame) {
        PeerConnection connection = connections.get(peer);
        if (connection != null) {
            connection.send(frame);
        }
    }

    /**
     * Queues a frame for a peer; adds the peer with its address {@code HOST:PORT} if it is unknown.
     */
    void send(String peer, String address, JsonNode frame) {
        if (!connections.containsKey(peer)) {
            int colon = address.lastIndexOf(':');
            int port = Integer.parseInt(address.substring(colon + 1));
            add(peer, new InetSocketAddress(address.substring(0, colon), port));
        }
        send(peer, frame);
    }

    @Override
    public void close() {
        connections.values().forEach(PeerConnection::close);
    }
}
