package ashlink.router.frontend;

import ashlink.router.upstream.EngineConnections;
import ashlink.router.upstream.NativeEngineConnection;
import java.io.IOException;

/** Engine connection of one attempt. Used only by the thread of the attempt. */
final class ConnectionLease {

    private final EngineConnections engines;

    /** Connection of the attempt; null before it is acquired and after it is released. */
    private NativeEngineConnection connection;

    ConnectionLease(EngineConnections engines) {
        this.engines = engines;
    }

    /** Acquires a connection from the pool of an engine. */
    NativeEngineConnection acquire(String engine, String database) throws IOException {
        connection = engines.acquire(engine, database);
        return connection;
    }

    boolean isActive() {
        return connection != null;
    }

    NativeEngineConnection connection() {
        return connection;
    }

    /** Returns the connection to its pool if it is reusable; closes it otherwise. */
    void release(boolean reusable) {
        engines.release(connection, reusable);
        connection = null;
    }
}
