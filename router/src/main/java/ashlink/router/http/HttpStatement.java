package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.RequestExchange;
import ashlink.router.frontend.ResponseChannel;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.PageStore.StoredPage;
import ashlink.router.statement.PageWindow;
import ashlink.router.statement.StatementLifecycle;
import ashlink.wire.Blocks;
import ashlink.wire.ByteBuf;
import ashlink.wire.PlainPackets;
import ashlink.wire.Progress;
import ashlink.wire.Quota;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * A statement whose answer is fetched: takes packets of the native protocol, keeps the blocks of
 * its result by pages, and wakes who waits for one. An attempt's worker writes to it and waits
 * while there is no room; askers never wait in it.
 */
final class HttpStatement implements ResponseChannel {

    private static final int READ_BYTES = 64 << 10;

    /** What an asker is told. {@code page} below 0: not there yet, or there is a problem. */
    record PollResult(int page, byte[] blocks, byte[] header, boolean last, ProblemDetail problem) {
        boolean isPage() {
            return page >= 0;
        }
    }

    /** Does what is due when it is answered, before anybody is told; may wait for the disk. */
    interface CompletionListener {
        void onComplete(HttpStatement httpStatement, StatementOutcome how) throws IOException;
    }

    private static final class PendingPoll {
        final int page;
        final Consumer<PollResult> to;
        final AtomicBoolean told = new AtomicBoolean();
        ScheduledFuture<?> timer;

        PendingPoll(int page, Consumer<PollResult> to) {
            this.page = page;
            this.to = to;
        }
    }

    private final String id;
    private final String user;
    private final String peer;
    private final PageStore store;
    private final WireLimits limits;
    private final long pageBytes;
    private final CompletionListener completionListener;
    private final long startNs = System.nanoTime();
    private final ByteBuf openPage;

    /**
     * Guards what askers and the writer share; held while a page is read, so that none is let go
     * meanwhile, never while one waits.
     */
    private final Object state = new Object();

    private final StatementLifecycle lifecycle;
    private final PageWindow window = new PageWindow();
    private final List<StoredPage> pages = new ArrayList<>();
    private List<PendingPoll> pendingPolls = new ArrayList<>();
    private volatile CountDownLatch keyStored = new CountDownLatch(0);
    private volatile RequestExchange exchange;
    private volatile boolean closed;
    private volatile Consumer<byte[]> headerListener;
    private byte[] header = new byte[0];
    private long storedBytes;
    private StoredPage lastPage;
    private boolean completing;
    private StatementOutcome outcome;
    private ServerError error;
    private ProblemDetail resultError;
    private long retryAfterNs;
    private volatile long rows;
    private volatile long bytes;
    private volatile long readRows;
    private volatile long readBytes;

    HttpStatement(
            String id,
            String user,
            String peer,
            PageStore store,
            Quota memory,
            WireLimits limits,
            long pageBytes,
            StatementLifecycle.Timeouts terms,
            CompletionListener whenAnswered) {
        this.id = id;
        this.user = user;
        this.peer = peer;
        this.store = store;
        this.limits = limits;
        this.pageBytes = pageBytes;
        this.completionListener = whenAnswered;
        this.openPage = new ByteBuf(pageBytes + limits.packetBytes(), memory);
        this.lifecycle = new StatementLifecycle(terms, System.nanoTime());
    }

    void exchange(RequestExchange requestExchange) {
        exchange = requestExchange;
    }

    /** Who is given the columns that an insert's data is wanted for. */
    void headerListener(Consumer<byte[]> taker) {
        headerListener = taker;
    }

    String id() {
        return id;
    }

    String user() {
        return user;
    }

    @Override
    public String peer() {
        return peer;
    }

    // ---- Its key
    void expectKey() {
        keyStored = new CountDownLatch(1);
    }

    void keyStoredOnDisk() {
        keyStored.countDown();
    }

    /**
     * Waits until its key is on the disk: who is told of it later than that is told what a crash
     * does not undo.
     */
    void awaitKey() {
        try {
            keyStored.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- The writer: one thread at a time, which holds the lock of this channel
    @Override
    public void write(ByteBuf packets) throws IOException {
        try {
            decode(packets);
            if (openPage.size() >= pageBytes || openPage.size() > 0 && hasPendingPolls()) {
                closePage();
            }
        } catch (IOException e) {
            failResult(e);
            exchange.clientDisconnected(); // nothing of it can be passed on: what runs is called
            // off where
            // that is allowed
            complete(StatementOutcome.BROKEN, 0);
            throw e;
        }
    }

    @Override
    public void end(ByteBuf packets, StatementOutcome how, long retryAfter) throws IOException {
        try {
            decode(packets);
            if (how == StatementOutcome.SERVED && !closed) {
                lastPage =
                        storeOpenPage(); // maybe empty: whoever was told of a next page finds one
            }
        } catch (IOException e) {
            failResult(e);
        }
        complete(how, retryAfter);
    }

    private void complete(StatementOutcome how, long retryAfter) {
        synchronized (state) {
            if (completing) {
                return;
            }
            completing = true;
        }
        try {
            completionListener.onComplete(this, how);
        } catch (IOException e) {
            failResult(e);
        }
        List<PendingPoll> due;
        synchronized (state) {
            lifecycle.complete(System.nanoTime());
            outcome = how;
            if (lastPage != null && closed) {
                store.release(lastPage);
            } else if (lastPage != null) {
                window.closePage();
                pages.add(lastPage);
            }
            retryAfterNs = retryAfter;
            window.end();
            due = takePendingPolls();
        }
        openPage.release();
        due.forEach(this::respond);
    }

    /**
     * The result cannot be kept: what runs is called off where that is allowed, and its client
     * told.
     */
    private void failResult(IOException failure) {
        synchronized (state) {
            if (resultError == null && !closed) {
                resultError =
                        ProblemDetail.of(
                                ProblemDetail.Kind.RESULT_LOST,
                                String.valueOf(failure.getMessage()));
            }
        }
    }

    private void decode(ByteBuf packets) throws IOException {
        StreamSource in =
                new StreamSource(
                        new ByteArrayInputStream(packets.array(), 0, packets.size()),
                        Math.max(16, Math.min(packets.size(), READ_BYTES)));
        Blocks blocks = new Blocks(in, limits);
        while (in.consumed() < packets.size()) {
            ServerPacket kind = ServerPacket.of(in.readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                error = ServerError.read(in, limits);
            } else if (kind == ServerPacket.PROGRESS) {
                Progress progress = Progress.read(in, Revision.HIGHEST);
                readRows += progress.rows();
                readBytes += progress.bytes();
            } else if (kind.hasBlock()) {
                in.readString("table", limits.nameBytes());
                int from = (int) in.consumed();
                Blocks.Size size = blocks.skip(false);
                if (kind == ServerPacket.DATA && size.columns() > 0) {
                    handleBlock(packets.array(), from, (int) in.consumed() - from, size.rows());
                }
            } else if (kind != ServerPacket.END_OF_STREAM) {
                PlainPackets.skip(kind, in, Revision.HIGHEST, limits);
            }
        }
    }

    private void handleBlock(byte[] from, int offset, int length, long count) throws IOException {
        if (count == 0) {
            Consumer<byte[]> taker = headerListener;
            byte[] block = Arrays.copyOfRange(from, offset, offset + length);
            synchronized (state) {
                header = block;
            }
            if (taker != null) {
                headerListener = null;
                taker.accept(block);
            }
            return;
        }
        if (closed) {
            return;
        }
        if (openPage.size() > 0 && openPage.size() + (long) length > pageBytes) {
            closePage();
        }
        if (length >= pageBytes || !appendToOpenPage(from, offset, length)) {
            if (openPage.size() > 0) {
                closePage();
            }
            publish(
                    store(
                            Arrays.copyOfRange(from, offset, offset + length),
                            length)); // a page of its own
        }
        rows += count;
        bytes += length;
    }

    /** False where there is no memory left to gather a page in: it is closed as it is then. */
    private boolean appendToOpenPage(byte[] from, int offset, int length) {
        try {
            openPage.append(from, offset, length);
            return true;
        } catch (WireException e) {
            return false;
        }
    }

    private boolean hasPendingPolls() {
        synchronized (state) {
            return !pendingPolls.isEmpty();
        }
    }

    private StoredPage storeOpenPage() throws IOException {
        StoredPage stored = store(openPage.array(), openPage.size());
        openPage.clear();
        return stored;
    }

    private StoredPage store(byte[] blocks, int length) throws IOException {
        try {
            StoredPage stored =
                    store.store(
                            id,
                            user,
                            window.closedCount(),
                            blocks,
                            length,
                            storedBytes,
                            () -> closed);
            storedBytes += stored.length();
            return stored;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the router stops", e);
        }
    }

    private void closePage() throws IOException {
        publish(storeOpenPage());
    }

    private void publish(StoredPage s) {
        List<PendingPoll> due;
        synchronized (state) {
            if (closed) {
                store.release(s);
                return;
            }
            window.closePage();
            pages.add(s);
            due = takePendingPolls();
        }
        due.forEach(this::respond);
    }

    // ---- Askers
    /**
     * Asks for a page; the answer goes to {@code to}, now or within that time, by this thread or
     * one of the executor.
     */
    void poll(
            int page,
            long waitNs,
            Executor executor,
            ScheduledExecutorService timers,
            Consumer<PollResult> to) {
        PendingPoll waiter =
                new PendingPoll(
                        page,
                        told -> {
                            synchronized (state) {
                                lifecycle.pollEnded(
                                        told.isPage() && told.last || told.problem != null,
                                        System.nanoTime());
                            }
                            to.accept(told);
                        });
        PollResult now;
        synchronized (state) {
            lifecycle.pollStarted(System.nanoTime());
            now = peek(page);
            if (now == null && waitNs > 0) {
                PendingPoll waiting =
                        new PendingPoll(page, told -> respondLater(executor, waiter, told));
                waiting.timer =
                        timers.schedule(() -> respond(waiting), waitNs, TimeUnit.NANOSECONDS);
                pendingPolls.add(waiting);
                return;
            }
        }
        waiter.to.accept(now == null ? pending() : now);
    }

    private void respondLater(Executor executor, PendingPoll waiter, PollResult told) {
        try {
            executor.execute(() -> waiter.to.accept(told));
        } catch (RejectedExecutionException e) {
            waiter.to.accept(told); // the server stops
        }
    }

    private List<PendingPoll> takePendingPolls() {
        List<PendingPoll> due = pendingPolls;
        pendingPolls = new ArrayList<>();
        return due;
    }

    private void respond(PendingPoll waiter) {
        if (waiter.told.compareAndSet(false, true)) {
            if (waiter.timer != null) {
                waiter.timer.cancel(false);
            }
            PollResult told;
            synchronized (state) {
                pendingPolls.remove(waiter);
                told = peek(waiter.page);
            }
            waiter.to.accept(told == null ? pending() : told);
        }
    }

    private static PollResult pending() {
        return new PollResult(-1, null, null, false, null);
    }

    /**
     * What there is to tell of a page now; null while it is still to come. Called under the lock.
     */
    private PollResult peek(int page) {
        if (lifecycle.state() == StatementLifecycle.State.DISCARDED
                || lifecycle.state() == StatementLifecycle.State.REMOVED) {
            return problem(
                    resultError != null
                            ? resultError
                            : ProblemDetail.of(
                                    outcome == null ? StatementOutcome.GONE : outcome,
                                    error,
                                    retryAfterNs));
        }
        int before = window.firstRetained();
        PageWindow.PageState kind = window.request(page);
        for (int i = before; i < window.firstRetained(); i++) {
            store.release(pages.get(i));
            pages.set(i, null);
        }
        return switch (kind) {
            case AVAILABLE -> page(page);
            case RELEASED ->
                    problem(
                            ProblemDetail.of(
                                    ProblemDetail.Kind.GONE,
                                    "page "
                                            + page
                                            + " was let go when page "
                                            + (page + 2)
                                            + " or a later one was asked for"));
            case PENDING -> null;
            case INVALID ->
                    page == window.closedCount() && resultError != null
                            ? problem(resultError)
                            : page == window.closedCount()
                                            && outcome != null
                                            && outcome != StatementOutcome.SERVED
                                    ? problem(ProblemDetail.of(outcome, error, retryAfterNs))
                                    : problem(
                                            ProblemDetail.of(
                                                    ProblemDetail.Kind.NOT_FOUND,
                                                    "there is no page "
                                                            + page
                                                            + "; pages are asked for in order"));
        };
    }

    private PollResult page(int page) {
        try {
            return new PollResult(
                    page,
                    store.read(pages.get(page)),
                    header,
                    window.isLast(page) && resultError == null,
                    null);
        } catch (IOException e) {
            resultError =
                    ProblemDetail.of(
                            ProblemDetail.Kind.RESULT_LOST, String.valueOf(e.getMessage()));
            return problem(resultError);
        }
    }

    private static PollResult problem(ProblemDetail problemDetail) {
        return new PollResult(-1, null, null, false, problemDetail);
    }

    // ---- Its end
    /** What is to be done about it now. */
    StatementLifecycle.PendingAction pendingAction(long nowNs) {
        synchronized (state) {
            return lifecycle.pendingAction(nowNs);
        }
    }

    /** Its client calls it off, or drops its result; more than once is no error. */
    void cancel() {
        boolean running;
        synchronized (state) {
            running = lifecycle.state() == StatementLifecycle.State.RUNNING;
        }
        if (running && exchange != null) {
            close(); // a writer that waits for room ends, so that the cancel finds the way free
            exchange.cancel(); // who waits is told how it ended, before its result is dropped
        }
        discard();
    }

    /** Nobody asks for it: its work is called off. */
    void cancelAbandoned() {
        discard();
        synchronized (this) {
            if (exchange != null) {
                exchange.clientDisconnected();
            }
            complete(StatementOutcome.GONE, 0);
        }
    }

    /** Drops its result, and wakes who waits in it. */
    void discard() {
        List<PendingPoll> due;
        synchronized (state) {
            closed = true;
            window.releaseAll();
            pages.forEach(
                    s -> {
                        if (s != null) {
                            store.release(s);
                        }
                    });
            pages.clear();
            lifecycle.discard(System.nanoTime());
            due = takePendingPolls();
        }
        store.wake();
        due.forEach(this::respond);
    }

    void remove() {
        synchronized (state) {
            lifecycle.remove();
        }
    }

    /** Cut off: nothing more passes, and the writer's wait ends. */
    @Override
    public void close() {
        closed = true;
        store.wake();
    }

    /** The router stops: who waits is told so. */
    void stop() {
        synchronized (state) {
            if (resultError == null) {
                resultError = ProblemDetail.of(ProblemDetail.Kind.STOPPING, "");
            }
        }
        discard();
    }

    // ---- Figures
    StatementLifecycle.State state() {
        synchronized (state) {
            return lifecycle.state();
        }
    }

    StatementOutcome outcome() {
        synchronized (state) {
            return outcome;
        }
    }

    boolean isFetched() {
        synchronized (state) {
            return outcome != null
                    && (outcome != StatementOutcome.SERVED || window.isLastPageRequested());
        }
    }

    /**
     * The number of the next page to ask for, for who starts over; -1 where there is nothing to
     * fetch any more.
     */
    int firstRetainedPage() {
        synchronized (state) {
            return lifecycle.state() == StatementLifecycle.State.DISCARDED
                    ? -1
                    : window.firstRetained();
        }
    }

    /** The word of its state. */
    String stateName() {
        synchronized (state) {
            return outcome == null
                    ? lifecycle.state() == StatementLifecycle.State.DISCARDED
                            ? "cancelled"
                            : "running"
                    : outcome == StatementOutcome.SERVED
                            ? "finished"
                            : outcome == StatementOutcome.GONE ? "abandoned" : outcome.word();
        }
    }

    long discardedNs() {
        synchronized (state) {
            return lifecycle.discardedNs();
        }
    }

    long elapsedMs() {
        return (System.nanoTime() - startNs) / 1_000_000;
    }

    long rows() {
        return rows;
    }

    long bytes() {
        return bytes;
    }

    long readRows() {
        return readRows;
    }

    long readBytes() {
        return readBytes;
    }
}
