package ashlink.router.frontend;

import ashlink.router.upstream.EngineConnections;
import ashlink.router.upstream.NativeEngineConnection;
import java.io.IOException;

/** The engine connection of one attempt. Only the thread of the attempt uses it. */
final class ConnectionLease {

    private final EngineConnections engines;

    /** Null before the connection is acquired and after it is released. */
    private NativeEngineConnection connection;

    ConnectionLease(EngineConnections engines) {
        this.engines = engines;
    }

    /** Takes a connection from the pool of an engine. */
    NativeEngineConnection acquire(String engine, String database) throws IOException {
        connection = engines.take(engine, database);
        return connection;
    }

    boolean isActive() {
        return connection != null;
    }

    NativeEngineConnection connection() {
        return connection;
    }

    /** Returns the connection to its pool if it is reusable, else closes it. */
    void release(boolean reusable) {
        engines.giveBack(connection, reusable);
        connection = null;
    }
}
