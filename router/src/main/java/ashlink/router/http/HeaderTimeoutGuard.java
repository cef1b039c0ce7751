package ashlink.router.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;

/**
 * Closes connections that do not send the complete next request within a timeout. A client that
 * sends bytes slowly never triggers the idle timeout, so slow requests need this separate limit.
 */
final class HeaderTimeoutGuard implements Connection.Listener {

    private static final class Observation {
        long messagesIn;
        long bytesIn;

        /** Time at which the first byte of a request was seen; negative if no request has begun. */
        long requestStartedNs = -1;
    }

    private final long timeoutNs;
    private final Map<Connection, Observation> observations = new ConcurrentHashMap<>();

    HeaderTimeoutGuard(long timeoutNs) {
        this.timeoutNs = timeoutNs;
    }

    @Override
    public void onOpened(Connection connection) {
        observations.put(connection, new Observation());
    }

    @Override
    public void onClosed(Connection connection) {
        observations.remove(connection);
    }

    /** Checks all connections; one thread calls it several times within the timeout. */
    void checkAll(long nowNs) {
        observations.forEach(
                (connection, observation) -> {
                    long messagesIn = connection.getMessagesIn();
                    long bytesIn = connection.getBytesIn();
                    boolean idle = messagesIn == connection.getMessagesOut();
                    if (messagesIn != observation.messagesIn || !idle) {
                        observation.messagesIn = messagesIn;
                        observation.bytesIn = bytesIn;
                        observation.requestStartedNs = -1;
                    } else if (bytesIn != observation.bytesIn && observation.requestStartedNs < 0) {
                        observation.requestStartedNs = nowNs;
                    } else if (observation.requestStartedNs >= 0
                            && nowNs - observation.requestStartedNs > timeoutNs) {
                        connection.getEndPoint().close();
                    }
                });
    }
}
