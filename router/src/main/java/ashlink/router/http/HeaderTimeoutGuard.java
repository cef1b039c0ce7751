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
        long messages;
        long bytes;

        /** Time at which the first byte of a request was seen; negative if no request has begun. */
        long startedNs = -1;
    }

    private final long timeoutNs;
    private final Map<Connection, Observation> connections = new ConcurrentHashMap<>();

    HeaderTimeoutGuard(long timeoutNs) {
        this.timeoutNs = timeoutNs;
    }

    @Override
    public void onOpened(Connection connection) {
        connections.put(connection, new Observation());
    }

    @Override
    public void onClosed(Connection connection) {
        connections.remove(connection);
    }

    /** Checks all connections; one thread calls it several times within the timeout. */
    void checkAll(long nowNs) {
        connections.forEach(
                (connection, seen) -> {
                    long messages = connection.getMessagesIn();
                    long bytes = connection.getBytesIn();
                    boolean idle = messages == connection.getMessagesOut();
                    if (messages != seen.messages || !idle) {
                        seen.messages = messages;
                        seen.bytes = bytes;
                        seen.startedNs = -1;
                    } else if (bytes != seen.bytes && seen.startedNs < 0) {
                        seen.startedNs = nowNs;
                    } else if (seen.startedNs >= 0 && nowNs - seen.startedNs > timeoutNs) {
                        connection.getEndPoint().close();
                    }
                });
    }
}
