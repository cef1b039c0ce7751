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
final class TcpRelay implements AutoCloseable {

    private static final int BUFFER_BYTES = 128 << 10;
    private static final long STACK_BYTES = 256 << 10;

    private final ServerSocket server;
    private final InetSocketAddress target;

    TcpRelay(InetSocketAddress target) throws IOException {
        this.target = target;
        server = new ServerSocket(0, 1024, InetAddress.getLoopbackAddress());
        startThread(this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(null, task, "relay", STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket in = server.accept();
                Socket out = new Socket(target.getAddress(), target.getPort());
                in.setTcpNoDelay(true);
                out.setTcpNoDelay(true);
                startThread(() -> copy(in, out));
                startThread(() -> copy(out, in));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void copy(Socket from, Socket target) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                target) {
            InputStream in = from.getInputStream();
            OutputStream out = target.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                out.write(buffer, 0, count);
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
