package ashlink.router;

import ashlink.config.RouterConfig;
import ashlink.decisions.api.Endpoint;
import ashlink.router.core.CoreClock;
import ashlink.router.discovery.EndpointListStore;
import java.io.IOException;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the endpoints when they change, so that they are available immediately after a restart of
 * the router. Stores nothing if no state directory is configured.
 */
final class EndpointCache {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointCache.class);
    private static final String FILE_NAME = "engines.list";

    private final CoreClock clock;

    /** Store of the endpoints; null if no state directory is configured. */
    private final EndpointListStore store;

    private List<Endpoint> stored = List.of();

    EndpointCache(RouterConfig config, CoreClock clock) {
        this.clock = clock;
        this.store =
                config.stateDir() == null
                        ? null
                        : new EndpointListStore(config.stateDir().resolve(FILE_NAME));
    }

    /**
     * Returns the endpoints of the previous run; empty if none are stored or they cannot be read.
     */
    List<Endpoint> load() {
        if (store != null) {
            try {
                stored = store.load(clock.nowNs(), System.currentTimeMillis());
            } catch (IOException e) {
                LOG.warn("cached endpoints not used error=\"{}\"", e.getMessage());
            }
        }
        return stored;
    }

    /** Stores the endpoints if they have changed. */
    void save(List<Endpoint> endpoints) throws IOException {
        if (store != null && !endpoints.equals(stored)) {
            store.save(endpoints, clock.nowNs(), System.currentTimeMillis());
            stored = endpoints;
        }
    }
}
