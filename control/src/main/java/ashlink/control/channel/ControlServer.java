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
 * fleet. Each connection has a rate limit: processing of frames above the limit is delayed. Connections
 * above the maximum number are closed.
 */
public final class ControlServer implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(ControlServer.class);
    private static final int MAX_CONNECTIONS = 512;
    private static final int HANDSHAKE_MS = 5_000;
    private static final int IDLE_MS = 120_000;
    private static final double FRAMES_BURST = 500;
    private static final double FRAMES_PER_S = 500;
    private static final long STACK_BYTES = 256 << 10;

    /** The sender of a frame, with the name and roles in its certificate. */
    public record Peer(String name, Set<Role> roles, String address) {}

    /** Processes the frames received on control connections. */
    public interface Handler {
        /**
         * Processes a frame and returns the response, or null if there is none. May block.
         *
         * @throws IOException if the request fails; the sender receives the exception's message
         */
        JsonNode handle(Peer from, JsonNode frame) throws IOException;
    }

    private final SSLServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String name;
    private volatile boolean closed;

    /**
     * Creates a server that is bound to an address and authenticates itself with an identity. The
     * server accepts connections after {@link #start}.
     */
    public ControlServer(Identity identity, InetSocketAddress at, Handler handler)
            throws IOException {
        this.handler = handler;
        this.name = identity.name();
        server = (SSLServerSocket) identity.context().getServerSocketFactory().createServerSocket();
        server.setReuseAddress(true);
        server.bind(at, 256);
        server.setNeedClientAuth(true);
    }

    /** Starts to accept connections. */
    public void start() {
        thread(this::accept, name + "-control").start();
    }

    /** Returns the address on which the server listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static Thread thread(Runnable task, String name) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    private void accept() {
        while (!closed) {
            try {
                SSLSocket socket = (SSLSocket) server.accept();
                if (sockets.size() >= MAX_CONNECTIONS) {
                    LOG.warn(
                            "control connection rejected address={} openConnections={}",
                            socket.getRemoteSocketAddress(),
                            sockets.size());
                    socket.close();
                    continue;
                }
                sockets.add(socket);
                thread(() -> serve(socket), name + "-control-" + socket.getPort()).start();
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("control accept failed error=\"{}\"", e.toString());
                    pause(50_000_000L);
                }
            }
        }
    }

    private static void pause(long ns) {
        try {
            TimeUnit.NANOSECONDS.sleep(ns);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void serve(SSLSocket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(HANDSHAKE_MS);
            socket.startHandshake();
            X509Certificate certificate =
                    (X509Certificate) socket.getSession().getPeerCertificates()[0];
            Peer peer =
                    new Peer(
                            Identity.name(certificate),
                            Identity.roles(certificate),
                            String.valueOf(socket.getRemoteSocketAddress()));
            socket.setSoTimeout(IDLE_MS);
            TokenBucket rate = new TokenBucket(FRAMES_BURST, FRAMES_PER_S);
            DataInputStream in =
                    new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 << 10));
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (JsonNode frame = Frames.read(in);
                    frame != null && !closed;
                    frame = Frames.read(in)) {
                while (!rate.tryAcquire(1, System.nanoTime())) {
                    pause(rate.waitNs(1, System.nanoTime()));
                }
                JsonNode answer = answer(peer, frame);
                if (answer != null) {
                    Frames.write(out, answer);
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

    private JsonNode answer(Peer peer, JsonNode frame) {
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
            server.close();
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
