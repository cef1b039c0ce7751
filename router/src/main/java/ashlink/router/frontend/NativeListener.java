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
 * Accepts client connections of the native protocol. Each connection has a thread of its own;
 * connections beyond the configured limit are closed.
 */
public final class NativeListener {

    private static final Logger LOG = LoggerFactory.getLogger(NativeListener.class);
    private static final int BACKLOG = 1024;
    private static final long ACCEPT_RETRY_DELAY_MS = 50;

    private final ListenerContext context;
    private final CredentialCache credentials = new CredentialCache();
    private final ServerSocket serverSocket;
    private final Thread acceptThread;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    /** Binds the configured address; port 0 selects any free port. */
    public NativeListener(ListenerContext context) throws IOException {
        this.context = context;
        serverSocket = new ServerSocket();
        serverSocket.setReuseAddress(true);
        serverSocket.bind(context.config().listen(), BACKLOG);
        acceptThread = new Thread(this::accept, context.config().name() + "-accept");
        acceptThread.setDaemon(true);
    }

    /** Starts accepting clients. */
    public void start() {
        acceptThread.start();
    }

    /** Returns the address on which the listener accepts connections. */
    public InetSocketAddress address() {
        return (InetSocketAddress) serverSocket.getLocalSocketAddress();
    }

    private void accept() {
        while (!closed) {
            try {
                startConnection(serverSocket.accept());
            } catch (IOException e) {
                if (!closed) {
                    LOG.warn("accept failed error=\"{}\"", e.toString());
                    waitBeforeRetry();
                }
            }
        }
    }

    /**
     * Sleeps before the next accept, to prevent a busy loop while the process has no free file
     * descriptors.
     */
    private static void waitBeforeRetry() {
        try {
            Thread.sleep(ACCEPT_RETRY_DELAY_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void startConnection(Socket socket) throws IOException {
        try {
            if (sockets.size() >= context.config().resourceLimits().maxClientConnections()) {
                LOG.warn(
                        "client connection rejected at the limit client={} connections={}",
                        socket.getRemoteSocketAddress(),
                        sockets.size());
                socket.close();
                return;
            }
            socket.setTcpNoDelay(true);
            sockets.add(socket);
            NativeClientConnection connection =
                    new NativeClientConnection(
                            context, credentials, socket, () -> sockets.remove(socket));
            Thread thread =
                    new Thread(
                            null,
                            connection,
                            "client-" + socket.getPort(),
                            context.config().resourceLimits().threadStackBytes());
            thread.setDaemon(true);
            thread.start();
        } catch (IOException | OutOfMemoryError e) {
            sockets.remove(socket);
            socket.close();
            throw e instanceof IOException io
                    ? io
                    : new IOException("cannot start a thread for a client connection", e);
        }
    }

    /** Stops accepting clients; open connections remain. */
    public void stopAccepting() throws IOException {
        closed = true;
        serverSocket.close();
    }

    /** Closes all connections. */
    public void closeAll() {
        for (Socket socket : sockets) {
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is not used again, so a failed close has no effect.
            }
        }
    }
}
