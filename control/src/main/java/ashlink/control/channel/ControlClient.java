package ashlink.control.channel;

import ashlink.control.tls.Identity;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.BufferedInputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.security.cert.X509Certificate;
import javax.net.ssl.SSLSocket;

/** Client side of a connection to a router's control channel, over mutual TLS. */
public final class ControlClient implements AutoCloseable {

    private final SSLSocket socket;
    private final DataInputStream in;
    private final DataOutputStream out;
    private final String peer;

    /**
     * Connects to a router and performs the TLS handshake.
     *
     * @param expectedName the name that the router's certificate must contain, or null to accept
     *     any name
     * @param timeoutMs timeout of the connection attempt and of each read
     * @throws IOException if the connection or handshake fails, or the name is not the expected one
     */
    public ControlClient(
            Identity identity, InetSocketAddress address, String expectedName, int timeoutMs)
            throws IOException {
        Socket tcpSocket = new Socket();
        try {
            tcpSocket.setTcpNoDelay(true);
            tcpSocket.connect(address, timeoutMs);
            tcpSocket.setSoTimeout(timeoutMs);
            socket =
                    (SSLSocket)
                            identity.context()
                                    .getSocketFactory()
                                    .createSocket(
                                            tcpSocket,
                                            address.getHostString(),
                                            address.getPort(),
                                            true);
            socket.startHandshake();
            peer = Identity.name((X509Certificate) socket.getSession().getPeerCertificates()[0]);
            if (expectedName != null && !peer.equals(expectedName)) {
                throw new IOException(
                        "unexpected certificate name "
                                + peer
                                + " of the router at "
                                + address
                                + ": expected "
                                + expectedName);
            }
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 << 10));
            out = new DataOutputStream(socket.getOutputStream());
        } catch (IOException | RuntimeException e) {
            tcpSocket.close();
            throw e;
        }
    }

    /** Returns the name in the router's certificate. */
    public String peer() {
        return peer;
    }

    /** Sends a frame that the router does not respond to. */
    public void send(JsonNode frame) throws IOException {
        Frames.write(out, frame);
    }

    /**
     * Sends a frame and waits for the response.
     *
     * @throws IOException if the connection fails or the response reports an error
     */
    public JsonNode request(JsonNode frame) throws IOException {
        send(frame);
        JsonNode response = Frames.read(in);
        if (response == null) {
            throw Frames.connectionClosed();
        }
        if (response.has("error")) {
            throw new IOException(peer + ": " + response.get("error").asText());
        }
        return response;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection is no longer used, whether or not closing it succeeded.
        }
    }
}
