package ashlink.control.member;

import ashlink.control.channel.ControlClient;
import ashlink.control.tls.Identity;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An outgoing connection to another router, opened when there is a frame to send. Frames wait in a
 * bounded queue, which drops its oldest frame when it is full. Thread-safe.
 */
final class PeerConnection {

    private static final Logger LOG = LoggerFactory.getLogger(PeerConnection.class);
    private static final int MAX_QUEUED_FRAMES = 64;
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RETRY_DELAY_MS = 200;
    private static final long THREAD_STACK_BYTES = 256 << 10;

    private final Identity identity;
    private final InetSocketAddress address;
    private final String peer;
    private final ArrayBlockingQueue<JsonNode> queue = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);
    private final Thread thread;
    private volatile boolean closed;
    private volatile ControlClient client;

    PeerConnection(Identity identity, String peer, InetSocketAddress address) {
        this.identity = identity;
        this.peer = peer;
        this.address = address;
        this.thread =
                new Thread(null, this::run, identity.name() + "-to-" + peer, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    void send(JsonNode frame) {
        while (!queue.offer(frame)) {
            queue.poll();
        }
    }

    private void run() {
        try {
            while (!closed) {
                JsonNode frame = queue.take();
                try {
                    if (client == null) {
                        client = new ControlClient(identity, address, peer, CONNECT_TIMEOUT_MS);
                    }
                    client.send(frame);
                } catch (IOException e) {
                    LOG.debug(
                            "peer unreachable peer={} address={} error=\"{}\"",
                            peer,
                            address,
                            e.toString());
                    disconnect();
                    TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MS);
                }
            }
        } catch (InterruptedException e) {
            disconnect();
        }
    }

    private void disconnect() {
        ControlClient openClient = client;
        client = null;
        if (openClient != null) {
            openClient.close();
        }
    }

    void close() {
        closed = true;
        thread.interrupt();
        ControlClient openClient = client;
        if (openClient != null) {
            openClient.close();
        }
    }
}
