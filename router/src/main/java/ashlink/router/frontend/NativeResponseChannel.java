package ashlink.router.frontend;

import ashlink.router.core.StatementOutcome;
import ashlink.wire.ByteBuf;
import ashlink.wire.ServerError;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Socket of a client of the native protocol. */
final class NativeResponseChannel implements ResponseChannel {

    private final Socket socket;
    private final OutputStream out;

    NativeResponseChannel(Socket socket) throws IOException {
        this.socket = socket;
        this.out = socket.getOutputStream();
    }

    @Override
    public synchronized void write(ByteBuf packets) throws IOException {
        packets.writeTo(out);
    }

    @Override
    public void end(ByteBuf packets, StatementOutcome outcome, long retryAfterNs)
            throws IOException {
        write(packets);
    }

    /** Writes an error packet. */
    void write(ServerError error) throws IOException {
        ByteBuf packet = new ByteBuf();
        error.write(packet);
        write(packet);
    }

    @Override
    public String peer() {
        return socket.getRemoteSocketAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress() + ":" + address.getPort()
                : "";
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is not used again, so a failed close has no effect.
        }
    }
}
