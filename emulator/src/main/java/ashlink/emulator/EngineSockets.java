package ashlink.emulator;

import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Opens listeners and resets connections. */
final class EngineSockets {

    private static final int BACKLOG = 1024;
    private static final long BIND_TIMEOUT_NS = 2_000_000_000L;

    private EngineSockets() {}

    /**
     * Opens a listener. Retries for a while if the address is in use, because the port of a closed
     * listener is released only when its accept thread has returned.
     */
    static ServerSocketChannel listen(InetSocketAddress address) throws IOException {
        long deadlineNs = System.nanoTime() + BIND_TIMEOUT_NS;
        while (true) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            try {
                channel.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
                channel.bind(address, BACKLOG);
                return channel;
            } catch (BindException e) {
                channel.close();
                if (System.nanoTime() > deadlineNs) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    /** Closes a connection with a reset, as when a process dies. */
    static void reset(SocketChannel socketChannel) {
        try {
            socketChannel.setOption(
                    java.net.StandardSocketOptions.SO_LINGER,
                    0); // close() sends a reset, as when a process dies
            socketChannel.close();
        } catch (IOException e) {
            // The channel is closed even if close() throws.
        }
    }
}
