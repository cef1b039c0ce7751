package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.frontend.RequestAdmission;
import ashlink.router.spool.PageStore;
import ashlink.router.statement.IdempotencyKeyTable.Claim;
import ashlink.router.statement.IdempotencyKeyTable.ClaimResult;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.StatementLifecycle;
import ashlink.router.statement.StatementLifecycle.State;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Registers the statements of the HTTP API by identifier. Safe for use by several threads. */
final class StatementRegistry {

    /** Retry delay of a statement that is rejected because a limit is reached. */
    static final long RETRY_AFTER_NS = 1_000_000_000L;

    private static final Logger LOG = LoggerFactory.getLogger(StatementRegistry.class);
    private static final int ID_BYTES = 16;
    private static final char ROUTER_SEPARATOR = '~';
    private static final Pattern URI_SAFE_NAME = Pattern.compile("[A-Za-z0-9._-]+");

    /**
     * The result of a submission: exactly one component is not null.
     *
     * @param statement the statement, which may have been submitted earlier with the same key
     * @param earlierEntry key entry of an earlier statement that is no longer registered
     * @param problem reason why the statement is rejected
     */
    record SubmitResult(HttpStatement statement, Entry earlierEntry, ProblemDetail problem) {

        static SubmitResult of(HttpStatement statement) {
            return new SubmitResult(statement, null, null);
        }

        static SubmitResult of(ProblemDetail problem) {
            return new SubmitResult(null, null, problem);
        }

        static SubmitResult rejected(String reason) {
            return of(new ProblemDetail(ProblemDetail.Kind.REFUSED, reason, RETRY_AFTER_NS, 0));
        }
    }

    private final ListenerContext context;
    private final HttpSpec spec;
    private final PageStore store;
    private final IdempotencyKeys keys;
    private final StatementRequestFactory requestFactory;
    private final StatementSlots slots;
    private final MemoryQuota openPageQuota;
    private final StatementLifecycle.Timeouts timeouts;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, HttpStatement> statements = new ConcurrentHashMap<>();
    private volatile boolean stopping;

    StatementRegistry(ListenerContext context, PageStore store, IdempotencyKeys keys) {
        this.context = context;
        this.spec = context.config().http();
        this.store = store;
        this.keys = keys;
        this.requestFactory = new StatementRequestFactory(context);
        this.slots = new StatementSlots(spec);
        this.openPageQuota = new MemoryQuota(spec.totalMemoryBytes());
        this.timeouts =
                new StatementLifecycle.Timeouts(
                        spec.pollTimeoutNs(),
                        spec.resultRetentionNs(),
                        spec.completedRetentionNs(),
                        spec.tombstoneRetentionNs());
    }

    // Submission

    /**
     * Submits a statement. A statement that was submitted before with the same key does not run
     * again.
     *
     * @param key idempotency key, or null
     */
    SubmitResult submit(StatementSubmission submission, String user, String peer, String key) {
        if (stopping) {
            return SubmitResult.rejected("the router is shutting down");
        }
        ProblemDetail problem = slots.acquire(user);
        if (problem != null) {
            return SubmitResult.of(problem);
        }
        HttpStatement statement = newStatement(user, peer);
        Claim claim = null;
        if (key != null) {
            claim = claim(key, submission, statement);
            if (claim.result() != ClaimResult.NEW) {
                slots.release(user);
                return resultOfDuplicate(claim);
            }
        }
        statements.put(statement.id(), statement);
        RequestAdmission.Prepared prepared = requestFactory.prepare(submission, statement);
        if (claim != null && !keys.storeClaim(claim.entry())) {
            prepared.reject("the idempotency key could not be stored", RETRY_AFTER_NS);
        } else {
            prepared.submit();
        }
        statement.markKeyStored();
        return SubmitResult.of(statement);
    }

    private HttpStatement newStatement(String user, String peer) {
        return new HttpStatement(
                newId(),
                user,
                peer,
                store,
                openPageQuota,
                context.limits(),
                spec.pageBytes(),
                timeouts,
                (statement, outcome) -> keys.storeOutcome(statement.id(), outcome));
    }

    private Claim claim(String key, StatementSubmission submission, HttpStatement statement) {
        return keys.claim(
                statement.user(),
                key,
                submission.digest(),
                statement.id(),
                () -> {
                    // The next submission with the key finds the statement and awaits the key.
                    statement.expectKeyStored();
                    statements.put(statement.id(), statement);
                });
    }

    private SubmitResult resultOfDuplicate(Claim claim) {
        return switch (claim.result()) {
            case CONFLICT -> SubmitResult.of(ProblemDetail.of(ProblemDetail.Kind.KEY_REUSED, ""));
            case FULL ->
                    SubmitResult.rejected(
                            "the router already retains the maximum of "
                                    + spec.maxIdempotencyKeys()
                                    + " idempotency keys");
            default -> {
                HttpStatement statement = statements.get(claim.entry().statement());
                if (statement == null) {
                    yield new SubmitResult(null, claim.entry(), null);
                }
                statement.awaitKeyStored();
                yield SubmitResult.of(statement);
            }
        };
    }

    /**
     * Returns an identifier that cannot be guessed. The identifier begins with the name of this
     * router if the name is safe in a URI, so that other routers can redirect to this router.
     */
    private String newId() {
        byte[] randomBytes = new byte[ID_BYTES];
        random.nextBytes(randomBytes);
        String randomPart = Base64.getUrlEncoder().withoutPadding().encodeToString(randomBytes);
        String router = context.config().name();
        boolean uriSafe = URI_SAFE_NAME.matcher(router).matches();
        return uriSafe ? router + ROUTER_SEPARATOR + randomPart : randomPart;
    }

    /** Returns the router name in a statement identifier, or null if there is none. */
    static String routerOf(String statementId) {
        int separator = statementId.indexOf(ROUTER_SEPARATOR);
        return separator > 0 ? statementId.substring(0, separator) : null;
    }

    // Lookup

    /** Returns a user's statement, or null. */
    HttpStatement find(String id, String user) {
        HttpStatement statement = statements.get(id);
        return statement != null && statement.user().equals(user) ? statement : null;
    }

    /** Returns the idempotency key entry of a user's statement, or null. */
    Entry findKeyEntry(String id, String user) {
        return keys.find(id, user);
    }

    // Expiry

    /** Cancels a statement or discards its result at the client's request. */
    void cancel(HttpStatement statement) {
        State state = statement.result().state();
        statement.cancel();
        if (state == State.RUNNING || state == State.ANSWERED) {
            slots.release(statement);
        }
    }

    /** Cancels, discards and removes statements whose timeouts have expired. */
    void expire(long nowNs) {
        List<HttpStatement> discarded = new ArrayList<>();
        for (HttpStatement statement : statements.values()) {
            expire(statement, nowNs);
            if (statement.result().state() == State.DISCARDED) {
                discarded.add(statement);
            }
        }
        if (discarded.size() > spec.maxTombstones()) {
            discarded.sort(Comparator.comparingLong(statement -> statement.result().discardedNs()));
            discarded.subList(0, discarded.size() - spec.maxTombstones()).forEach(this::remove);
        }
    }

    private void expire(HttpStatement statement, long nowNs) {
        switch (statement.result().pendingAction(nowNs)) {
            case CANCEL -> {
                LOG.atInfo()
                        .addKeyValue("statement", statement.id())
                        .addKeyValue("user", statement.user())
                        .log("statement cancelled after poll timeout");
                statement.cancelAbandoned();
                slots.release(statement);
            }
            case DISCARD -> {
                statement.result().discard();
                slots.release(statement);
            }
            case REMOVE -> remove(statement);
            default -> {
                // No action is due.
            }
        }
    }

    private void remove(HttpStatement statement) {
        statement.result().remove();
        slots.release(statement);
        statements.remove(statement.id());
        slots.remove(statement);
    }

    /** Removes expired idempotency keys. */
    void expireKeys() throws IOException {
        keys.expire();
    }

    // Shutdown

    /** Rejects new statements from now on. */
    void rejectNew() {
        stopping = true;
    }

    /** Returns whether clients have fetched all results. */
    boolean allFetched() {
        return statements.values().stream()
                .map(HttpStatement::result)
                .allMatch(
                        result ->
                                result.state() != State.RUNNING && result.state() != State.ANSWERED
                                        || result.isFetched());
    }

    /** Discards all results; pending polls are told that the router is shutting down. */
    void stop() {
        stopping = true;
        statements.values().forEach(statement -> statement.result().stop());
    }

    void close() throws IOException {
        store.close();
        keys.close();
    }

    // Statistics

    int openCount() {
        return slots.openCount();
    }

    int knownCount() {
        return statements.size();
    }

    int keyCount() {
        return keys.size();
    }
}
