package ashlink.router.http;

import ashlink.config.RouterConfig.HttpSpec;
import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.InsertFeed;
import ashlink.router.frontend.ListenerContext;
import ashlink.router.frontend.MemoryQuota;
import ashlink.router.frontend.RequestAdmission;
import ashlink.router.frontend.RequestExchange;
import ashlink.router.spool.IdempotencyKeyLog;
import ashlink.router.spool.PageStore;
import ashlink.router.statement.IdempotencyKeyTable;
import ashlink.router.statement.IdempotencyKeyTable.Claim;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.StatementLifecycle;
import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientInfo;
import ashlink.wire.ClientPacket;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.WireException;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The statements of the HTTP front: taken, found, called off, expired; and the keys under which
 * they run once.
 */
final class StatementRegistry {

    private static final Logger LOG = LoggerFactory.getLogger(StatementRegistry.class);
    private static final int ID_BYTES = 16;
    private static final long FULL_RETRY_NS = 1_000_000_000L;

    /**
     * What came of a posted statement: the statement, what a key tells of an earlier one, or a
     * problem.
     */
    record SubmitResult(HttpStatement statement, Entry earlier, ProblemDetail problem) {}

    private final ListenerContext context;
    private final HttpSpec spec;
    private final PageStore store;
    private final IdempotencyKeyTable keys;
    private final IdempotencyKeyLog journal;
    private final MemoryQuota openPages;
    private final StatementLifecycle.Timeouts timeouts;
    private final SecureRandom random = new SecureRandom();
    private final Map<String, HttpStatement> statements = new ConcurrentHashMap<>();
    private final Map<String, AtomicInteger> openCountByUser = new ConcurrentHashMap<>();
    private final AtomicInteger openCount = new AtomicInteger();
    private final Set<String> releasedSlots = ConcurrentHashMap.newKeySet();
    private volatile boolean stopping;

    /** {@code journal} null: keys live as long as the router. */
    StatementRegistry(
            ListenerContext context,
            PageStore store,
            IdempotencyKeyTable keys,
            IdempotencyKeyLog journal) {
        this.context = context;
        this.spec = context.config().http();
        this.store = store;
        this.keys = keys;
        this.journal = journal;
        this.openPages = new MemoryQuota(spec.memoryAllBytes());
        this.timeouts =
                new StatementLifecycle.Timeouts(
                        spec.unpolledNs(), spec.keptNs(), spec.lingerNs(), spec.tombstoneNs());
    }

    // ---- Taking
    /** Takes a statement; with a key, the same statement is taken once. */
    SubmitResult submit(
            StatementSubmission statementSubmission, String user, String peer, String key) {
        if (stopping) {
            return new SubmitResult(
                    null,
                    null,
                    new ProblemDetail(
                            ProblemDetail.Kind.REFUSED, "the router stops", FULL_RETRY_NS, 0));
        }
        ProblemDetail full = admit(user);
        if (full != null) {
            return new SubmitResult(null, null, full);
        }
        HttpStatement httpStatement =
                new HttpStatement(
                        newId(),
                        user,
                        peer,
                        store,
                        openPages,
                        context.limits(),
                        spec.pageBytes(),
                        timeouts,
                        this::storeOutcome);
        Claim claim = null;
        if (key != null) {
            synchronized (keys) {
                claim =
                        keys.claim(
                                user,
                                key,
                                statementSubmission.digest(),
                                httpStatement.id(),
                                System.currentTimeMillis());
                if (claim.result() == IdempotencyKeyTable.ClaimResult.NEW) {
                    httpStatement.expectKey();
                    statements.put(
                            httpStatement.id(),
                            httpStatement); // who comes with the key next finds the statement
                }
            }
            if (claim.result() != IdempotencyKeyTable.ClaimResult.NEW) {
                releaseSlot(httpStatement);
                return duplicate(claim);
            }
        }
        statements.put(httpStatement.id(), httpStatement);
        RequestAdmission.Prepared prepared = prepare(statementSubmission, httpStatement, user);
        if (claim != null && !storeClaim(claim.entry())) {
            prepared.reject("the key could not be kept", FULL_RETRY_NS);
        } else {
            prepared.submit();
        }
        httpStatement.keyStoredOnDisk();
        return new SubmitResult(httpStatement, null, null);
    }

    /** Keeps a claim; on the disk before anything can run. */
    private boolean storeClaim(Entry entry) {
        try {
            if (journal != null) {
                journal.put(entry);
            }
            return true;
        } catch (IOException x) {
            LOG.error("a key could not be kept: {}", x.toString());
            return false;
        }
    }

    private SubmitResult duplicate(Claim claim) {
        return switch (claim.result()) {
            case CONFLICT ->
                    new SubmitResult(
                            null, null, ProblemDetail.of(ProblemDetail.Kind.KEY_REUSED, ""));
            case FULL ->
                    new SubmitResult(
                            null,
                            null,
                            new ProblemDetail(
                                    ProblemDetail.Kind.REFUSED,
                                    "there are " + spec.keys() + " keys, which is the limit",
                                    FULL_RETRY_NS,
                                    0));
            default -> {
                HttpStatement httpStatement = statements.get(claim.entry().statement());
                if (httpStatement != null) {
                    httpStatement.awaitKey();
                }
                yield httpStatement != null
                        ? new SubmitResult(httpStatement, null, null)
                        : new SubmitResult(null, claim.entry(), null);
            }
        };
    }

    private ProblemDetail admit(String user) {
        AtomicInteger mine = openCountByUser.computeIfAbsent(user, text -> new AtomicInteger());
        if (mine.incrementAndGet() > spec.openUser()) {
            mine.decrementAndGet();
            return new ProblemDetail(
                    ProblemDetail.Kind.TOO_MANY,
                    "the limit is " + spec.openUser(),
                    FULL_RETRY_NS,
                    0);
        }
        if (openCount.incrementAndGet() > spec.open()) {
            openCount.decrementAndGet();
            mine.decrementAndGet();
            return new ProblemDetail(
                    ProblemDetail.Kind.REFUSED,
                    "the router holds " + spec.open() + " statements, which is the limit",
                    FULL_RETRY_NS,
                    0);
        }
        return null;
    }

    /** Its result was dropped: its place is free. */
    private void releaseSlot(HttpStatement httpStatement) {
        openCount.decrementAndGet();
        openCountByUser.get(httpStatement.user()).decrementAndGet();
    }

    /**
     * Not to be guessed; begins with the router's name where that can stand in a URI, so that
     * others can point to it.
     */
    private String newId() {
        byte[] b = new byte[ID_BYTES];
        random.nextBytes(b);
        String text = Base64.getUrlEncoder().withoutPadding().encodeToString(b);
        String name = context.config().name();
        return name.matches("[A-Za-z0-9._-]+") ? name + "~" + text : text;
    }

    private RequestAdmission.Prepared prepare(
            StatementSubmission statementSubmission, HttpStatement httpStatement, String user) {
        ByteBuf end = new ByteBuf();
        try {
            end.putVarUInt(ClientPacket.DATA.ordinal()).putString("");
            Block.END.write(null, end);
        } catch (WireException e) {
            throw new IllegalStateException(e);
        }
        byte[] noTables = Arrays.copyOf(end.array(), end.size());
        ClientInfo info =
                new ClientInfo(
                        user,
                        "",
                        httpStatement.peer(),
                        "",
                        "",
                        "ashlink http",
                        1,
                        0,
                        Revision.HIGHEST,
                        0,
                        "");
        QueryPacket query =
                new QueryPacket(
                        "",
                        info,
                        statementSubmission.settingList(),
                        QueryPacket.COMPLETE,
                        false,
                        statementSubmission.statement());
        RequestAdmission.Prepared prepared =
                RequestAdmission.prepare(
                        context,
                        httpStatement,
                        Revision.HIGHEST,
                        user,
                        statementSubmission.database(),
                        query,
                        noTables);
        RequestExchange exchange = prepared.exchange();
        httpStatement.exchange(exchange);
        if (exchange.feed() != null) {
            httpStatement.headerListener(
                    header -> feedOnWorker(exchange, header, statementSubmission, noTables));
        }
        return prepared;
    }

    /**
     * The data of a load goes from a thread of its own: the one that brought the columns is the one
     * that sends it on.
     */
    private void feedOnWorker(
            RequestExchange exchange,
            byte[] header,
            StatementSubmission statementSubmission,
            byte[] end) {
        try {
            context.workers()
                    .execute(
                            () -> {
                                InsertFeed feed = exchange.feed();
                                try {
                                    if (statementSubmission.rows() != null
                                            && statementSubmission.rows().size() > 0) {
                                        feed.put(
                                                RowsEncoder.encode(
                                                        header,
                                                        statementSubmission.rows(),
                                                        context.limits()),
                                                false);
                                    }
                                    feed.put(end, true);
                                } catch (WireException e) {
                                    exchange.rejectInput(e);
                                } catch (IOException e) {
                                    exchange.rejectInput(
                                            new WireException(
                                                    WireException.Reason.MALFORMED,
                                                    String.valueOf(e.getMessage())));
                                } catch (InterruptedException e) {
                                    Thread.currentThread().interrupt();
                                }
                            });
        } catch (RejectedExecutionException e) {
            LOG.debug("the router stops before a load had its data");
        }
    }

    // ---- Answers
    /**
     * Keeps how a keyed statement ended before its client is told; the key of one that did not run
     * is free again.
     */
    private void storeOutcome(HttpStatement httpStatement, StatementOutcome how)
            throws IOException {
        Entry entry;
        synchronized (keys) {
            entry = keys.findByStatement(httpStatement.id());
            if (entry == null) {
                return;
            }
            if (how.isHarmless()) {
                keys.release(entry.user(), entry.key());
            } else {
                keys.put(entry.completed(how));
            }
        }
        if (journal != null) {
            if (!how.isHarmless()) {
                journal.put(entry.completed(how));
                return;
            }
            try {
                journal.release(entry);
            } catch (IOException x) {
                LOG.warn(
                        "that a key is free could not be kept; after a restart its fate is unknown:"
                                + " {}",
                        x.toString());
            }
        }
    }

    // ---- Finding
    /** A statement of that user, or null. */
    HttpStatement find(String id, String user) {
        HttpStatement httpStatement = statements.get(id);
        return httpStatement != null && httpStatement.user().equals(user) ? httpStatement : null;
    }

    /** What a key tells of a statement of that user that is not here any more, or null. */
    Entry findKeyEntry(String id, String user) {
        synchronized (keys) {
            Entry entry = keys.findByStatement(id);
            return entry != null && entry.user().equals(user) ? entry : null;
        }
    }

    /** Its client calls it off or drops its result. */
    void cancel(HttpStatement httpStatement) {
        boolean held =
                httpStatement.result().state() == StatementLifecycle.State.RUNNING
                        || httpStatement.result().state() == StatementLifecycle.State.ANSWERED;
        httpStatement.cancel();
        if (held) {
            releaseSlotOnce(httpStatement);
        }
    }

    /** Its place is free; said once of each statement. */
    private void releaseSlotOnce(HttpStatement httpStatement) {
        if (releasedSlots.add(httpStatement.id())) {
            releaseSlot(httpStatement);
        }
    }

    // ---- Upkeep
    /** Does what is due: calls off, drops, forgets. */
    void expire(long nowNs) {
        List<HttpStatement> gone = new ArrayList<>();
        for (HttpStatement httpStatement : statements.values()) {
            switch (httpStatement.result().pendingAction(nowNs)) {
                case CANCEL -> {
                    LOG.info(
                            "statement {} of {} is called off: nobody asks for it",
                            httpStatement.id(),
                            httpStatement.user());
                    httpStatement.cancelAbandoned();
                    releaseSlotOnce(httpStatement);
                }
                case DISCARD -> {
                    httpStatement.result().discard();
                    releaseSlotOnce(httpStatement);
                }
                case REMOVE -> remove(httpStatement);
                case NONE -> {}
            }
            if (httpStatement.result().state() == StatementLifecycle.State.DISCARDED) {
                gone.add(httpStatement);
            }
        }
        if (gone.size() > spec.tombstones()) {
            gone.sort(Comparator.comparingLong(statement -> statement.result().discardedNs()));
            gone.subList(0, gone.size() - spec.tombstones()).forEach(this::remove);
        }
    }

    private void remove(HttpStatement httpStatement) {
        httpStatement.result().remove();
        releaseSlotOnce(httpStatement);
        statements.remove(httpStatement.id());
        releasedSlots.remove(httpStatement.id());
    }

    /** Lets go of keys whose time is over, and keeps the journal short. */
    void expireKeys() throws IOException {
        List<Entry> gone;
        synchronized (keys) {
            gone = keys.expire(System.currentTimeMillis());
        }
        if (journal != null) {
            for (Entry entry : gone) {
                journal.release(entry);
            }
            journal.compact();
        }
    }

    // ---- Stop
    /** Takes no more. */
    void rejectNew() {
        stopping = true;
    }

    /** True once all that was answered was fetched. */
    boolean allFetched() {
        return statements.values().stream()
                .allMatch(
                        httpStatement ->
                                httpStatement.result().state() != StatementLifecycle.State.RUNNING
                                                && httpStatement.result().state()
                                                        != StatementLifecycle.State.ANSWERED
                                        || httpStatement.result().isFetched());
    }

    /** Whoever still waits is told that the router stops. */
    void stop() {
        stopping = true;
        statements.values().forEach(statement -> statement.result().stop());
    }

    void close() throws IOException {
        store.close();
        if (journal != null) {
            journal.close();
        }
    }

    // ---- Figures
    int openCount() {
        return openCount.get();
    }

    int knownCount() {
        return statements.size();
    }

    int keyCount() {
        synchronized (keys) {
            return keys.size();
        }
    }
}
