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
     * @param expected the name that the router's certificate must contain, or null to accept any
     *     name
     * @param timeoutMs timeout of the connection attempt and of each read
     * @throws IOException if the connection or handshake fails, or the name is not the expected one
     */
    public ControlClient(Identity identity, InetSocketAddress to, String expected, int timeoutMs)
            throws IOException {
        Socket plain = new Socket();
        try {
            plain.setTcpNoDelay(true);
            plain.connect(to, timeoutMs);
            plain.setSoTimeout(timeoutMs);
            socket =
                    (SSLSocket)
                            identity.context()
                                    .getSocketFactory()
                                    .createSocket(plain, to.getHostString(), to.getPort(), true);
            socket.startHandshake();
            peer = Identity.name((X509Certificate) socket.getSession().getPeerCertificates()[0]);
            if (expected != null && !peer.equals(expected)) {
                throw new IOException(
                        "unexpected certificate name "
                                + peer
                                + " of the router at "
                                + to
                                + ": expected "
                                + expected);
            }
            in = new DataInputStream(new BufferedInputStream(socket.getInputStream(), 16 << 10));
            out = new DataOutputStream(socket.getOutputStream());
        } catch (IOException | RuntimeException e) {
            plain.close();
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
        JsonNode answer = Frames.read(in);
        if (answer == null) {
            throw Frames.connectionClosed();
        }
        if (answer.has("error")) {
            throw new IOException(peer + ": " + answer.get("error").asText());
        }
        return answer;
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
