package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.RequestExchange;
import ashlink.router.frontend.ResponseChannel;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.PageStore.Stored;
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
    record Told(int page, byte[] blocks, byte[] header, boolean last, ProblemDetail problem) {
        boolean isPage() {
            return page >= 0;
        }
    }

    /** Does what is due when it is answered, before anybody is told; may wait for the disk. */
    interface WhenAnswered {
        void answered(HttpStatement httpStatement, StatementOutcome how) throws IOException;
    }

    private static final class Waiter {
        final int page;
        final Consumer<Told> to;
        final AtomicBoolean told = new AtomicBoolean();
        ScheduledFuture<?> timer;

        Waiter(int page, Consumer<Told> to) {
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
    private final WhenAnswered whenAnswered;
    private final long fromNs = System.nanoTime();
    private final ByteBuf open;

    /**
     * Guards what askers and the writer share; held while a page is read, so that none is let go
     * meanwhile, never while one waits.
     */
    private final Object state = new Object();

    private final StatementLifecycle life;
    private final PageWindow window = new PageWindow();
    private final List<Stored> stored = new ArrayList<>();
    private List<Waiter> waiters = new ArrayList<>();
    private volatile CountDownLatch keyKept = new CountDownLatch(0);
    private volatile RequestExchange exchange;
    private volatile boolean closed;
    private volatile Consumer<byte[]> headerTaker;
    private byte[] header = new byte[0];
    private long inMemory;
    private Stored last;
    private boolean settled;
    private StatementOutcome ending;
    private ServerError error;
    private ProblemDetail lost;
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
            StatementLifecycle.Terms terms,
            WhenAnswered whenAnswered) {
        this.id = id;
        this.user = user;
        this.peer = peer;
        this.store = store;
        this.limits = limits;
        this.pageBytes = pageBytes;
        this.whenAnswered = whenAnswered;
        this.open = new ByteBuf(pageBytes + limits.packetBytes(), memory);
        this.life = new StatementLifecycle(terms, System.nanoTime());
    }

    void exchange(RequestExchange requestExchange) {
        exchange = requestExchange;
    }

    /** Who is given the columns that an insert's data is wanted for. */
    void headerTaker(Consumer<byte[]> taker) {
        headerTaker = taker;
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
    void awaitsKey() {
        keyKept = new CountDownLatch(1);
    }

    void keyIsKept() {
        keyKept.countDown();
    }

    /**
     * Waits until its key is on the disk: who is told of it later than that is told what a crash
     * does not undo.
     */
    void awaitKey() {
        try {
            keyKept.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- The writer: one thread at a time, which holds the lock of this channel
    @Override
    public void write(ByteBuf packets) throws IOException {
        try {
            take(packets);
            if (open.size() >= pageBytes || open.size() > 0 && hasWaiters()) {
                closePage();
            }
        } catch (IOException e) {
            lose(e);
            exchange.clientDisconnected(); // nothing of it can be passed on: what runs is called
            // off where
            // that is allowed
            settle(StatementOutcome.BROKEN, 0);
            throw e;
        }
    }

    @Override
    public void end(ByteBuf packets, StatementOutcome how, long retryAfter) throws IOException {
        try {
            take(packets);
            if (how == StatementOutcome.SERVED && !closed) {
                last = keepPage(); // maybe empty: whoever was told of a next page finds one
            }
        } catch (IOException e) {
            lose(e);
        }
        settle(how, retryAfter);
    }

    private void settle(StatementOutcome how, long retryAfter) {
        synchronized (state) {
            if (settled) {
                return;
            }
            settled = true;
        }
        try {
            whenAnswered.answered(this, how);
        } catch (IOException e) {
            lose(e);
        }
        List<Waiter> due;
        synchronized (state) {
            life.answered(System.nanoTime());
            ending = how;
            if (last != null && closed) {
                store.drop(last);
            } else if (last != null) {
                window.close();
                stored.add(last);
            }
            retryAfterNs = retryAfter;
            window.end();
            due = takeWaiters();
        }
        open.release();
        due.forEach(this::tell);
    }

    /**
     * The result cannot be kept: what runs is called off where that is allowed, and its client
     * told.
     */
    private void lose(IOException failure) {
        synchronized (state) {
            if (lost == null && !closed) {
                lost =
                        ProblemDetail.of(
                                ProblemDetail.Kind.RESULT_LOST,
                                String.valueOf(failure.getMessage()));
            }
        }
    }

    private void take(ByteBuf packets) throws IOException {
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
                    data(packets.array(), from, (int) in.consumed() - from, size.rows());
                }
            } else if (kind != ServerPacket.END_OF_STREAM) {
                PlainPackets.skip(kind, in, Revision.HIGHEST, limits);
            }
        }
    }

    private void data(byte[] from, int offset, int length, long count) throws IOException {
        if (count == 0) {
            Consumer<byte[]> taker = headerTaker;
            byte[] block = Arrays.copyOfRange(from, offset, offset + length);
            synchronized (state) {
                header = block;
            }
            if (taker != null) {
                headerTaker = null;
                taker.accept(block);
            }
            return;
        }
        if (closed) {
            return;
        }
        if (open.size() > 0 && open.size() + (long) length > pageBytes) {
            closePage();
        }
        if (length >= pageBytes || !gather(from, offset, length)) {
            if (open.size() > 0) {
                closePage();
            }
            publish(
                    keep(
                            Arrays.copyOfRange(from, offset, offset + length),
                            length)); // a page of its own
        }
        rows += count;
        bytes += length;
    }

    /** False where there is no memory left to gather a page in: it is closed as it is then. */
    private boolean gather(byte[] from, int offset, int length) {
        try {
            open.append(from, offset, length);
            return true;
        } catch (WireException e) {
            return false;
        }
    }

    private boolean hasWaiters() {
        synchronized (state) {
            return !waiters.isEmpty();
        }
    }

    private Stored keepPage() throws IOException {
        Stored stored = keep(open.array(), open.size());
        open.clear();
        return stored;
    }

    private Stored keep(byte[] blocks, int length) throws IOException {
        try {
            Stored stored =
                    store.store(id, user, window.closed(), blocks, length, inMemory, () -> closed);
            inMemory += stored.length();
            return stored;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("the router stops", e);
        }
    }

    private void closePage() throws IOException {
        publish(keepPage());
    }

    private void publish(Stored s) {
        List<Waiter> due;
        synchronized (state) {
            if (closed) {
                store.drop(s);
                return;
            }
            window.close();
            stored.add(s);
            due = takeWaiters();
        }
        due.forEach(this::tell);
    }

    // ---- Askers
    /**
     * Asks for a page; the answer goes to {@code to}, now or within that time, by this thread or
     * one of the executor.
     */
    void ask(
            int page,
            long waitNs,
            Executor executor,
            ScheduledExecutorService timers,
            Consumer<Told> to) {
        Waiter waiter =
                new Waiter(
                        page,
                        told -> {
                            synchronized (state) {
                                life.waited(
                                        told.isPage() && told.last || told.problem != null,
                                        System.nanoTime());
                            }
                            to.accept(told);
                        });
        Told now;
        synchronized (state) {
            life.asked(System.nanoTime());
            now = look(page);
            if (now == null && waitNs > 0) {
                Waiter waiting = new Waiter(page, told -> later(executor, waiter, told));
                waiting.timer = timers.schedule(() -> tell(waiting), waitNs, TimeUnit.NANOSECONDS);
                waiters.add(waiting);
                return;
            }
        }
        waiter.to.accept(now == null ? notYet() : now);
    }

    private void later(Executor executor, Waiter waiter, Told told) {
        try {
            executor.execute(() -> waiter.to.accept(told));
        } catch (RejectedExecutionException e) {
            waiter.to.accept(told); // the server stops
        }
    }

    private List<Waiter> takeWaiters() {
        List<Waiter> due = waiters;
        waiters = new ArrayList<>();
        return due;
    }

    private void tell(Waiter waiter) {
        if (waiter.told.compareAndSet(false, true)) {
            if (waiter.timer != null) {
                waiter.timer.cancel(false);
            }
            Told told;
            synchronized (state) {
                waiters.remove(waiter);
                told = look(waiter.page);
            }
            waiter.to.accept(told == null ? notYet() : told);
        }
    }

    private static Told notYet() {
        return new Told(-1, null, null, false, null);
    }

    /**
     * What there is to tell of a page now; null while it is still to come. Called under the lock.
     */
    private Told look(int page) {
        if (life.state() == StatementLifecycle.State.GONE
                || life.state() == StatementLifecycle.State.FORGOTTEN) {
            return problem(
                    lost != null
                            ? lost
                            : ProblemDetail.of(
                                    ending == null ? StatementOutcome.GONE : ending,
                                    error,
                                    retryAfterNs));
        }
        int before = window.first();
        PageWindow.Kind kind = window.ask(page);
        for (int i = before; i < window.first(); i++) {
            store.drop(stored.get(i));
            stored.set(i, null);
        }
        return switch (kind) {
            case THERE -> page(page);
            case GONE ->
                    problem(
                            ProblemDetail.of(
                                    ProblemDetail.Kind.GONE,
                                    "page "
                                            + page
                                            + " was let go when page "
                                            + (page + 2)
                                            + " or a later one was asked for"));
            case NOT_YET -> null;
            case NEVER ->
                    page == window.closed() && lost != null
                            ? problem(lost)
                            : page == window.closed()
                                            && ending != null
                                            && ending != StatementOutcome.SERVED
                                    ? problem(ProblemDetail.of(ending, error, retryAfterNs))
                                    : problem(
                                            ProblemDetail.of(
                                                    ProblemDetail.Kind.NOT_FOUND,
                                                    "there is no page "
                                                            + page
                                                            + "; pages are asked for in order"));
        };
    }

    private Told page(int page) {
        try {
            return new Told(
                    page,
                    store.read(stored.get(page)),
                    header,
                    window.isLast(page) && lost == null,
                    null);
        } catch (IOException e) {
            lost = ProblemDetail.of(ProblemDetail.Kind.RESULT_LOST, String.valueOf(e.getMessage()));
            return problem(lost);
        }
    }

    private static Told problem(ProblemDetail problemDetail) {
        return new Told(-1, null, null, false, problemDetail);
    }

    // ---- Its end
    /** What is to be done about it now. */
    StatementLifecycle.Wish wish(long nowNs) {
        synchronized (state) {
            return life.wish(nowNs);
        }
    }

    /** Its client calls it off, or drops its result; more than once is no error. */
    void cancel() {
        boolean running;
        synchronized (state) {
            running = life.state() == StatementLifecycle.State.RUNNING;
        }
        if (running && exchange != null) {
            close(); // a writer that waits for room ends, so that the cancel finds the way free
            exchange.cancel(); // who waits is told how it ended, before its result is dropped
        }
        discard();
    }

    /** Nobody asks for it: its work is called off. */
    void abandon() {
        discard();
        synchronized (this) {
            if (exchange != null) {
                exchange.clientDisconnected();
            }
            settle(StatementOutcome.GONE, 0);
        }
    }

    /** Drops its result, and wakes who waits in it. */
    void discard() {
        List<Waiter> due;
        synchronized (state) {
            closed = true;
            window.dropAll();
            stored.forEach(
                    s -> {
                        if (s != null) {
                            store.drop(s);
                        }
                    });
            stored.clear();
            life.discarded(System.nanoTime());
            due = takeWaiters();
        }
        store.wake();
        due.forEach(this::tell);
    }

    void forget() {
        synchronized (state) {
            life.forgotten();
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
            if (lost == null) {
                lost = ProblemDetail.of(ProblemDetail.Kind.STOPPING, "");
            }
        }
        discard();
    }

    // ---- Figures
    StatementLifecycle.State state() {
        synchronized (state) {
            return life.state();
        }
    }

    StatementOutcome ending() {
        synchronized (state) {
            return ending;
        }
    }

    boolean isEndFetched() {
        synchronized (state) {
            return ending != null && (ending != StatementOutcome.SERVED || window.isEndFetched());
        }
    }

    /**
     * The number of the next page to ask for, for who starts over; -1 where there is nothing to
     * fetch any more.
     */
    int firstPage() {
        synchronized (state) {
            return life.state() == StatementLifecycle.State.GONE ? -1 : window.first();
        }
    }

    /** The word of its state. */
    String word() {
        synchronized (state) {
            return ending == null
                    ? life.state() == StatementLifecycle.State.GONE ? "cancelled" : "running"
                    : ending == StatementOutcome.SERVED
                            ? "finished"
                            : ending == StatementOutcome.GONE ? "abandoned" : ending.word();
        }
    }

    long goneNs() {
        synchronized (state) {
            return life.goneNs();
        }
    }

    long elapsedMs() {
        return (System.nanoTime() - fromNs) / 1_000_000;
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
