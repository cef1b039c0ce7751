package ashlink.router.frontend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Accepts clients: a thread with a small stack for each, up to the limit of connections; further
 * ones are closed.
 */
public final class NativeListener {

    private static final Logger LOG = LoggerFactory.getLogger(NativeListener.class);
    private static final int BACKLOG = 1024;
    private static final long REST_MS = 50;

    private final ListenerContext context;
    private final CredentialCache logins = new CredentialCache();
    private final ServerSocket server;
    private final Thread thread;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Listens at the address of the settings; port 0 is any. */
    public NativeListener(ListenerContext context) throws IOException {
        this.context = context;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(context.config().listen(), BACKLOG);
        thread = new Thread(this::accept, context.config().name() + "-accept");
        thread.setDaemon(true);
    }

    /** Starts taking clients. */
    public void start() {
        thread.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!closed) {
            try {
                begin(server.accept());
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("no connection could be taken: {}", e.toString());
                    rest();
                }
            }
        }
    }

    /** Guards against spinning where the process has no file handles left. */
    private static void rest() {
        try {
            Thread.sleep(REST_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin(Socket socket) throws IOException {
        try {
            if (sockets.size() >= context.config().bounds().connections()) {
                LOG.warn(
                        "connection from {} closed: {} are open, which is the limit",
                        socket.getRemoteSocketAddress(),
                        sockets.size());
                socket.close();
                return;
            }
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            NativeClientConnection connection =
                    new NativeClientConnection(
                            context, logins, socket, () -> sockets.remove(socket));
            Thread thread =
                    new Thread(
                            null,
                            connection,
                            "client-" + socket.getPort(),
                            context.config().bounds().stackBytes());
            thread.setDaemon(true);
            thread.start();
        } catch (IOException | OutOfMemoryError e) {
            sockets.remove(socket);
            socket.close();
            throw e instanceof IOException io
                    ? io
                    : new IOException("no thread for a connection", e);
        }
    }

    /** Takes no more clients; those in hand stay. */
    public void stopAccepting() throws IOException {
        closed = true;
        server.close();
    }

    /** Closes all clients. */
    public void closeAll() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // it is gone either way
            }
        }
    }
}
