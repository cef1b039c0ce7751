package ashlink.loadtest.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A TCP relay with the thread model of the router, which makes no decisions. Measures the cost of a
 * hop alone.
 */
final class Relay implements AutoCloseable {

    private static final int BUFFER_BYTES = 128 << 10;
    private static final long STACK_BYTES = 256 << 10;

    private final ServerSocket server;
    private final InetSocketAddress to;

    Relay(InetSocketAddress to) throws IOException {
        this.to = to;
        server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        thread(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void thread(Runnable task) {
        Thread thread = new Thread(null, task, "relay", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket in = server.accept();
                Socket out = new Socket(to.getAddress(), to.getPort());
                in.setTcpNoDelay(true);
                out.setTcpNoDelay(true);
                thread(() -> copy(in, out));
                thread(() -> copy(out, in));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                out.write(buffer, 0, n);
            }
        } catch (IOException e) {
            // The other connection is closed.
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
