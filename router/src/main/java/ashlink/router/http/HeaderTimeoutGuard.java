package ashlink.router.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Connection;

/**
 * Closes connections whose next request does not come whole in time: bytes that drip in keep a
 * connection from being idle, and so need a limit of their own.
 */
final class HeaderTimeoutGuard implements Connection.Listener {

    private static final class Observation {
        long messages;
        long bytes;
        long sinceNs = -1;
    }

    private final long limitNs;
    private final Map<Connection, Observation> connections = new ConcurrentHashMap<>();

    HeaderTimeoutGuard(long limitNs) {
        this.limitNs = limitNs;
    }

    @Override
    public void onOpened(Connection connection) {
        connections.put(connection, new Observation());
    }

    @Override
    public void onClosed(Connection connection) {
        connections.remove(connection);
    }

    /** Looks at all connections; called from time to time. */
    void checkAll(long nowNs) {
        connections.forEach(
                (connection, seen) -> {
                    long messages = connection.getMessagesIn();
                    long bytes = connection.getBytesIn();
                    boolean idle = messages == connection.getMessagesOut();
                    if (messages != seen.messages || !idle) {
                        seen.messages = messages;
                        seen.bytes = bytes;
                        seen.sinceNs = -1;
                    } else if (bytes != seen.bytes && seen.sinceNs < 0) {
                        seen.sinceNs = nowNs;
                    } else if (seen.sinceNs >= 0 && nowNs - seen.sinceNs > limitNs) {
                        connection.getEndPoint().close();
                    }
                });
    }
}
