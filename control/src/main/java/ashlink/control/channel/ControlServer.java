package ashlink.control.channel;

import ashlink.background.plan.TokenBucket;
import ashlink.control.tls.Identity;
import ashlink.control.tls.Role;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.security.cert.X509Certificate;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts control connections of routers and operators, which authenticate with certificates of the
 * fleet. Each connection has a rate limit: processing of frames above the limit is delayed.
 * Connections above the maximum number are closed.
 */
public final class ControlServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
    private static final int MAX_CONNECTIONS = 512;
    private static final int HANDSHAKE_TIMEOUT_MS = 5_000;
    private static final int IDLE_TIMEOUT_MS = 120_000;
    private static final double MAX_FRAME_BURST = 500;
    private static final double MAX_FRAMES_PER_S = 500;
    private static final long THREAD_STACK_BYTES = 256 << 10;

    /** The sender of a frame, with the name and roles in its certificate. */
    public record Peer(String name, Set<Role> roles, String address) {}

    /** Processes the frames received on control connections. */
    public interface Handler {
        /**
         * Processes a frame and returns the response, or null if there is none. May block.
         *
         * @throws IOException if the request fails; the sender receives the message of this or any
         *     runtime exception
         */
        JsonNode handle(Peer peer, JsonNode frame) throws IOException;
    }

    private final SSLServerSocket serverSocket;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String name;
    private volatile boolean closed;

    /**
     * Creates a server that is bound to an address and authenticates itself with an identity. The
     * server accepts connections after {@link #start}.
     */
    public ControlServer(Identity identity, InetSocketAddress address, Handler handler)
            throws IOException {
        this.handler = handler;
        this.name = identity.name();
        serverSocket =
                (SSLServerSocket) identity.context().getServerSocketFactory().createServerSocket();
        serverSocket.setReuseAddress(true);
        serverSocket.bind(address, 256);
        serverSocket.setNeedClientAuth(true);
    }

    /** Starts to accept connections. */
    public void start() {
        newThread(this::acceptConnections, name + "-control").start();
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    private static Thread newThread(Runnable task, String name) {
        Thread thread = new Thread(null, task, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    private void acceptConnections() {
        while (!closed) {
            try {
                SSLSocket socket = (SSLSocket) serverSocket.accept();
                if (sockets.size() >= MAX_CONNECTIONS) {
                    LOG.warn(
                            "control connection rejected address={} openConnections={}",
                            socket.getRemoteSocketAddress(),
                            sockets.size());
                    socket.close();
                    continue;
                }
                sockets.add(socket);
                newThread(() -> serve(socket), name + "-control-" + socket.getPort()).start();
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("control accept failed error=\"{}\"", e.toString());
                    sleep(50_000_000L);
                }
            }
        }
    }

    private static void sleep(long durationNs) {
        try {
            TimeUnit.NANOSECONDS.sleep(durationNs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(SSLSocket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(HANDSHAKE_TIMEOUT_MS);
            socket.startHandshake();
            X509Certificate certificate =
                    (X509Certificate) socket.getSession().getPeerCertificates()[0];
            Peer peer =
                    new Peer(
                            Identity.name(certificate),
                            Identity.roles(certificate),
                            String.valueOf(socket.getRemoteSocketAddress()));
            socket.setSoTimeout(IDLE_TIMEOUT_MS);
            TokenBucket rate = new TokenBucket(MAX_FRAME_BURST, MAX_FRAMES_PER_S);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 << 10));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (JsonNode frame = Frames.read(in);
                    frame != null && !closed;
                    frame = Frames.read(in)) {
                while (!rate.tryAcquire(1, System.nanoTime())) {
                    sleep(rate.waitNs(1, System.nanoTime()));
                }
                JsonNode response = respond(peer, frame);
                if (response != null) {
                    Frames.write(out, response);
                }
            }
        } catch (IOException e) {
            LOG.info(
                    "control connection failed address={} error=\"{}\"",
                    socket.getRemoteSocketAddress(),
                    e.toString());
        } finally {
            sockets.remove(socket);
        }
    }

    private JsonNode respond(Peer peer, JsonNode frame) {
        try {
            return handler.handle(peer, frame);
        } catch (IOException | RuntimeException e) {
            LOG.info("control request failed peer={} error=\"{}\"", peer.name(), e.toString());
            return Frames.JSON.createObjectNode().put("error", String.valueOf(e.getMessage()));
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            serverSocket.close();
        } catch (IOException e) {
            LOG.debug("control server close failed error=\"{}\"", e.toString());
        }
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("control connection close failed error=\"{}\"", e.toString());
            }
        }
    }
}
