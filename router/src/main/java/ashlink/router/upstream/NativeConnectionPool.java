package ashlink.router.upstream;

import ashlink.config.RouterConfig.EngineLogin;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Pool of connections to one engine. The most recently returned connection is reused first, so that
 * surplus connections become idle and are closed. If the pool is exhausted, a request for a
 * connection fails instead of waiting, because queries wait in the queue of the decision module,
 * ordered by priority. Thread-safe.
 */
public final class NativeConnectionPool {

    /** Thrown if all connections of a pool are in use. */
    public static final class ExhaustedException extends IOException {

        private static final long serialVersionUID = 1L;

        ExhaustedException(String engine, int maxConnections) {
            super("all " + maxConnections + " connections to engine " + engine + " are in use");
        }
    }

    private final String engine;
    private final InetSocketAddress address;
    private final String routerName;
    private final EngineLogin login;
    private final int maxConnections;
    private final int connectTimeoutMs;
    private final long idleTimeoutNs;
    private final WireLimits limits;

    // Fields guarded by this.
    private final ArrayDeque<NativeEngineConnection> idle = new ArrayDeque<>();
    private int open;
    private boolean closed;

    /** Creates an empty pool. */
    NativeConnectionPool(
            String engine,
            InetSocketAddress address,
            String routerName,
            EngineLogin login,
            int maxConnections,
            int connectTimeoutMs,
            long idleTimeoutNs,
            WireLimits limits) {
        this.engine = engine;
        this.address = address;
        this.routerName = routerName;
        this.login = login;
        this.maxConnections = maxConnections;
        this.connectTimeoutMs = connectTimeoutMs;
        this.idleTimeoutNs = idleTimeoutNs;
        this.limits = limits;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Acquires an idle connection with the given default database, or opens a new one.
     *
     * @throws ExhaustedException if all connections are in use
     */
    NativeEngineConnection acquire(String database) throws IOException {
        NativeEngineConnection idleConnection = poll(database);
        while (idleConnection != null) {
            if (idleConnection.isReusable()) {
                return idleConnection;
            }
            discard(idleConnection);
            idleConnection = poll(database);
        }
        NativeEngineConnection evicted = null;
        synchronized (this) {
            if (open >= maxConnections && !idle.isEmpty()) {
                // All idle connections have another default database; the oldest is replaced.
                evicted = idle.pollLast();
            } else if (open >= maxConnections) {
                throw new ExhaustedException(engine, maxConnections);
            } else {
                open++;
            }
        }
        if (evicted != null) {
            evicted.close();
        }
        try {
            return NativeEngineConnection.open(
                    this, engine, address, database, routerName, login, connectTimeoutMs, limits);
        } catch (IOException | RuntimeException e) {
            synchronized (this) {
                open--;
            }
            throw e;
        }
    }

    private synchronized NativeEngineConnection poll(String database) {
        for (Iterator<NativeEngineConnection> iterator = idle.iterator(); iterator.hasNext(); ) {
            NativeEngineConnection connection = iterator.next();
            if (connection.database().equals(database)) {
                iterator.remove();
                return connection;
            }
        }
        return null;
    }

    /** Returns a reusable connection to the pool. */
    void release(NativeEngineConnection connection, long nowNs) {
        connection.setIdleSinceNs(nowNs);
        synchronized (this) {
            if (!closed) {
                idle.addFirst(connection);
                return;
            }
        }
        discard(connection);
    }

    /** Closes a connection that is not reusable. */
    void discard(NativeEngineConnection connection) {
        connection.close();
        synchronized (this) {
            open--;
        }
    }

    /** Closes connections that exceed the idle timeout. */
    void closeIdle(long nowNs) {
        List<NativeEngineConnection> expired = new ArrayList<>();
        synchronized (this) {
            while (!idle.isEmpty()
                    && (closed || nowNs - idle.peekLast().idleSinceNs() > idleTimeoutNs)) {
                expired.add(idle.pollLast());
            }
        }
        expired.forEach(this::discard);
    }

    /** Closes the idle connections, and later the others when they are returned. */
    void close() {
        synchronized (this) {
            closed = true;
        }
        closeIdle(0);
    }
}
