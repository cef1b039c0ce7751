package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Limits the number of open statements of the router and of each user. A statement occupies a slot
 * until its result is discarded. Safe for use by several threads.
 */
final class StatementSlots {

    private final HttpSpec spec;
    private final AtomicInteger openCount = new AtomicInteger();
    private final Map<String, AtomicInteger> openCountByUser = new ConcurrentHashMap<>();

    /** Identifiers of the registered statements whose slots are released. */
    private final Set<String> released = ConcurrentHashMap.newKeySet();

    StatementSlots(HttpSpec spec) {
        this.spec = spec;
    }

    /** Acquires a slot; returns null on success, or a problem if a limit is reached. */
    ProblemDetail acquire(String user) {
        AtomicInteger userCount =
                openCountByUser.computeIfAbsent(user, name -> new AtomicInteger());
        if (userCount.incrementAndGet() > spec.maxOpenStatementsPerUser()) {
            userCount.decrementAndGet();
            return new ProblemDetail(
                    ProblemDetail.Kind.TOO_MANY,
                    "at most " + spec.maxOpenStatementsPerUser() + " open statements per user",
                    StatementRegistry.RETRY_AFTER_NS,
                    0);
        }
        if (openCount.incrementAndGet() > spec.maxOpenStatements()) {
            openCount.decrementAndGet();
            userCount.decrementAndGet();
            return new ProblemDetail(
                    ProblemDetail.Kind.REFUSED,
                    "the router already has the maximum of "
                            + spec.maxOpenStatements()
                            + " open statements",
                    StatementRegistry.RETRY_AFTER_NS,
                    0);
        }
        return null;
    }

    /** Releases the slot of a user for a statement that was never registered. */
    void release(String user) {
        openCount.decrementAndGet();
        openCountByUser.get(user).decrementAndGet();
    }

    /** Releases the slot of a statement; idempotent until {@link #remove}. */
    void release(HttpStatement statement) {
        if (released.add(statement.id())) {
            release(statement.user());
        }
    }

    /** Removes a statement that is no longer registered and whose slot is released. */
    void remove(HttpStatement statement) {
        released.remove(statement.id());
    }

    int openCount() {
        return openCount.get();
    }
}
