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
 * Connections to one engine: the last returned is taken first, so that what is not needed grows old
 * and is closed. At the limit of connections nobody waits here: waiting is what the decision module
 * does, by worth.
 */
public final class NativeConnectionPool {

    /** No connection is free and no further one is allowed. */
    public static final class Full extends IOException {
        Full(String engine, int most) {
            super("all " + most + " connections to engine " + engine + " are in use");
        }
    }

    private final String engine;
    private final InetSocketAddress address;
    private final String routerName;
    private final EngineLogin login;
    private final int most;
    private final int connectMs;
    private final long idleNs;
    private final WireLimits limits;
    private final ArrayDeque<NativeEngineConnection> idle = new ArrayDeque<>();
    private int open;
    private boolean closed;

    /** A pool without connections. */
    NativeConnectionPool(
            String engine,
            InetSocketAddress address,
            String routerName,
            EngineLogin login,
            int most,
            int connectMs,
            long idleNs,
            WireLimits limits) {
        this.engine = engine;
        this.address = address;
        this.routerName = routerName;
        this.login = login;
        this.most = most;
        this.connectMs = connectMs;
        this.idleNs = idleNs;
        this.limits = limits;
    }

    InetSocketAddress address() {
        return address;
    }

    /** A connection for that database that was idle and is still quiet, or a new one. */
    NativeEngineConnection take(String database) throws IOException {
        for (NativeEngineConnection c = poll(database); c != null; c = poll(database)) {
            if (c.isQuiet()) {
                return c;
            }
            discard(c);
        }
        NativeEngineConnection evicted = null;
        synchronized (this) {
            if (open >= most && !idle.isEmpty()) {
                evicted = idle.pollLast(); // it is for another database
            } else if (open >= most) {
                throw new Full(engine, most);
            } else {
                open++;
            }
        }
        if (evicted != null) {
            evicted.close(); // its place is the new one's
        }
        try {
            return NativeEngineConnection.open(
                    this, engine, address, database, routerName, login, connectMs, limits);
        } catch (IOException | RuntimeException e) {
            synchronized (this) {
                open--;
            }
            throw e;
        }
    }

    private synchronized NativeEngineConnection poll(String database) {
        for (Iterator<NativeEngineConnection> i = idle.iterator(); i.hasNext(); ) {
            NativeEngineConnection connection = i.next();
            if (connection.database().equals(database)) {
                i.remove();
                return connection;
            }
        }
        return null;
    }

    /** Takes back a connection whose last statement ended cleanly. */
    void giveBack(NativeEngineConnection connection, long now) {
        connection.idleSince(now);
        synchronized (this) {
            if (!closed) {
                idle.addFirst(connection);
                return;
            }
        }
        discard(connection);
    }

    /** Closes a connection whose state is in doubt. */
    void discard(NativeEngineConnection connection) {
        connection.close();
        synchronized (this) {
            open--;
        }
    }

    /** Closes what has been idle for too long. */
    void closeIdle(long now) {
        List<NativeEngineConnection> old = new ArrayList<>();
        synchronized (this) {
            while (!idle.isEmpty() && (closed || now - idle.peekLast().idleSince() > idleNs)) {
                old.add(idle.pollLast());
            }
        }
        old.forEach(this::discard);
    }

    /** Closes what is idle now, and the rest as it comes back. */
    void close() {
        synchronized (this) {
            closed = true;
        }
        closeIdle(0);
    }
}
