package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.frontend.RequestExchange;
import ashlink.router.frontend.ResponseChannel;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.PageStore.StoredPage;
import ashlink.router.statement.StatementLifecycle;
import ashlink.router.statement.StatementLifecycle.State;
import ashlink.wire.ByteBuf;
import ashlink.wire.Progress;
import ashlink.wire.Quota;
import ashlink.wire.ServerError;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;

/**
 * A statement of the HTTP API, whose result clients fetch page by page. Receives packets of the
 * native protocol and stores the blocks of the result as pages of a {@link PagedResult}.
 *
 * <p>One thread at a time writes to the statement, holding the lock of this channel; the writing
 * thread blocks while the spool is full.
 */
final class HttpStatement implements ResponseChannel {

    private static final long NS_PER_MS = 1_000_000L;

    /** Stores the outcome of a statement before any client receives the outcome. */
    interface CompletionListener {

        /** Stores the outcome; called once for a statement, may block on the disk. */
        void onComplete(HttpStatement statement, StatementOutcome outcome) throws IOException;
    }

    private final String id;
    private final String user;
    private final String peer;
    private final PageStore store;
    private final WireLimits limits;
    private final CompletionListener completionListener;
    private final PagedResult result;
    private final long startNs = System.nanoTime();
    private volatile CountDownLatch keyStored = new CountDownLatch(0);
    private volatile RequestExchange requestExchange;
    private volatile Consumer<byte[]> headerListener;

    // Guarded by this; used by the writing thread.
    private final PageBuilder pageBuilder;
    private long storedBytes;
    private StoredPage lastPage;
    private ServerError error;

    // Written only by the writing thread.
    private volatile long rows;
    private volatile long bytes;
    private volatile long readRows;
    private volatile long readBytes;

    /**
     * Creates a statement without a request exchange; {@link #setRequestExchange} sets it.
     *
     * @param memory memory budget of the page that is being built
     * @param pageBytes size at which a page is complete
     */
    HttpStatement(
            String id,
            String user,
            String peer,
            PageStore store,
            Quota memory,
            WireLimits limits,
            long pageBytes,
            StatementLifecycle.Timeouts timeouts,
            CompletionListener completionListener) {
        this.id = id;
        this.user = user;
        this.peer = peer;
        this.store = store;
        this.limits = limits;
        this.completionListener = completionListener;
        this.result = new PagedResult(store, timeouts);
        this.pageBuilder =
                new PageBuilder(pageBytes, limits.packetBytes(), memory, new PageTarget());
    }

    void setRequestExchange(RequestExchange exchange) {
        requestExchange = exchange;
    }

    /** Sets the listener that is called once, with the first header that an engine sends. */
    void setHeaderListener(Consumer<byte[]> listener) {
        headerListener = listener;
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

    /** Returns the result that clients poll. */
    PagedResult result() {
        return result;
    }

    // The idempotency key

    /** Makes {@link #awaitKeyStored} block until {@link #markKeyStored} is called. */
    void expectKeyStored() {
        keyStored = new CountDownLatch(1);
    }

    void markKeyStored() {
        keyStored.countDown();
    }

    /** Blocks until the key is on the disk, so that a crash cannot undo what a client was told. */
    void awaitKeyStored() {
        try {
            keyStored.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Writing

    @Override
    public void write(ByteBuf packets) throws IOException {
        try {
            ResponseDecoder.decode(packets, limits, new PacketHandler());
            if (pageBuilder.isFull() || !pageBuilder.isEmpty() && result.hasPendingPolls()) {
                pageBuilder.completePage();
            }
        } catch (IOException e) {
            result.fail(e);
            // The result is lost, so the running work is cancelled where cancellation is allowed.
            requestExchange.clientDisconnected();
            complete(StatementOutcome.INCOMPLETE, 0);
            throw e;
        }
    }

    @Override
    public void end(ByteBuf packets, StatementOutcome outcome, long retryAfterNs)
            throws IOException {
        try {
            ResponseDecoder.decode(packets, limits, new PacketHandler());
            if (outcome == StatementOutcome.SERVED && !result.isClosed()) {
                // An empty last page is stored too, because the page before may already link to it.
                lastPage = pageBuilder.storeOpenPage();
            }
        } catch (IOException e) {
            result.fail(e);
        }
        complete(outcome, retryAfterNs);
    }

    private void complete(StatementOutcome outcome, long retryAfterNs) {
        if (!result.beginCompletion()) {
            return;
        }
        try {
            completionListener.onComplete(this, outcome);
        } catch (IOException e) {
            result.fail(e);
        }
        pageBuilder.close();
        result.complete(new StatementCompletion(outcome, error, retryAfterNs), lastPage);
    }

    /** Handles the parts of the response on the writing thread. */
    private final class PacketHandler implements ResponseDecoder.Handler {

        @Override
        public void onError(ServerError serverError) {
            error = serverError;
        }

        @Override
        public void onProgress(Progress progress) {
            readRows += progress.rows();
            readBytes += progress.bytes();
        }

        @Override
        public void onHeader(byte[] block) {
            Consumer<byte[]> listener = headerListener;
            result.setHeader(block);
            if (listener != null) {
                headerListener = null;
                listener.accept(block);
            }
        }

        @Override
        public void onRows(byte[] source, int offset, int length, long rowCount)
                throws IOException {
            if (result.isClosed()) {
                return;
            }
            pageBuilder.append(source, offset, length);
            rows += rowCount;
            bytes += length;
        }
    }

    /** Stores and publishes pages on the writing thread. */
    private final class PageTarget implements PageBuilder.Target {

        @Override
        public StoredPage store(byte[] blocks, int length) throws IOException {
            try {
                StoredPage page =
                        store.store(
                                id,
                                user,
                                result.nextPageNumber(),
                                blocks,
                                length,
                                storedBytes,
                                result::isClosed);
                storedBytes += page.length();
                return page;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("the router is shutting down", e);
            }
        }

        @Override
        public void publish(StoredPage page) {
            result.publish(page);
        }
    }

    // Cancellation

    /** Cancels the statement or discards its result at the client's request; idempotent. */
    void cancel() {
        boolean running = result.state() == State.RUNNING;
        if (running && requestExchange != null) {
            // Unblocks the writing thread, which holds the lock that cancellation needs.
            close();
            // Pending polls receive the outcome before the result is discarded.
            requestExchange.cancel();
        }
        result.discard();
    }

    /** Cancels a statement that clients have stopped polling. */
    void cancelAbandoned() {
        result.discard();
        synchronized (this) {
            if (requestExchange != null) {
                requestExchange.clientDisconnected();
            }
            complete(StatementOutcome.CLIENT_DISCONNECTED, 0);
        }
    }

    @Override
    public void close() {
        result.close();
    }

    // Statistics

    long elapsedMs() {
        return (System.nanoTime() - startNs) / NS_PER_MS;
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
