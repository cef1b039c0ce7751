package ashlink.router.http;

import ashlink.router.core.StatementOutcome;
import ashlink.router.spool.PageStore;
import ashlink.router.spool.PageStore.StoredPage;
import ashlink.router.statement.PageWindow;
import ashlink.router.statement.StatementLifecycle;
import ashlink.router.statement.StatementLifecycle.State;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * The client view of a statement's result: published pages, outcome and pending polls. Safe for use
 * by several threads; methods block only while a page is read.
 */
final class PagedResult {

    private final PageStore store;

    /**
     * Guards all fields except {@code closed}. Held while a page is read, so that the page is not
     * released meanwhile, and never held while a thread waits.
     */
    private final Object lock = new Object();

    private final StatementLifecycle lifecycle;
    private final ResultPages pages;
    private List<PendingPoll> pendingPolls = new ArrayList<>();
    private byte[] header = new byte[0];
    private boolean completing;

    /** Null until the statement is complete. */
    private StatementCompletion completion;

    /** The reason why the result is lost, or null. */
    private ProblemDetail resultError;

    private volatile boolean closed;

    PagedResult(PageStore store, StatementLifecycle.Timeouts timeouts) {
        this.store = store;
        this.pages = new ResultPages(store);
        this.lifecycle = new StatementLifecycle(timeouts, System.nanoTime());
    }

    /** Returns the number of the next page; called only by the thread that publishes pages. */
    int nextPageNumber() {
        return pages.nextPageNumber();
    }

    /** Returns whether publishing has ended, so that further pages are dropped. */
    boolean isClosed() {
        return closed;
    }

    void setHeader(byte[] block) {
        synchronized (lock) {
            header = block;
        }
    }

    /** Publishes a page and responds to the pending polls. */
    void publish(StoredPage page) {
        List<PendingPoll> due;
        synchronized (lock) {
            if (closed) {
                store.release(page);
                return;
            }
            pages.add(page);
            due = takePendingPolls();
        }
        due.forEach(this::respond);
    }

    boolean hasPendingPolls() {
        synchronized (lock) {
            return !pendingPolls.isEmpty();
        }
    }

    /** Records that the result cannot be stored; clients receive this problem instead. */
    void fail(IOException failure) {
        synchronized (lock) {
            if (resultError == null && !closed) {
                resultError = ProblemDetail.resultLost(failure);
            }
        }
    }

    /** Returns true only for the first caller, which has to call {@link #complete}. */
    boolean beginCompletion() {
        synchronized (lock) {
            if (completing) {
                return false;
            }
            completing = true;
            return true;
        }
    }

    /** Completes the result and responds to all pending polls; {@code lastPage} may be null. */
    void complete(StatementCompletion finalCompletion, StoredPage lastPage) {
        List<PendingPoll> due;
        synchronized (lock) {
            lifecycle.complete(System.nanoTime());
            completion = finalCompletion;
            if (lastPage != null && closed) {
                store.release(lastPage);
            } else if (lastPage != null) {
                pages.add(lastPage);
            }
            pages.end();
            due = takePendingPolls();
        }
        due.forEach(this::respond);
    }

    /**
     * Polls for a page.
     *
     * @param waitNs maximum time to wait for the page
     * @param executor runs the responder of a poll that had to wait
     * @param responder receives the result exactly once, on this thread or later on the executor
     */
    void poll(
            int page,
            long waitNs,
            Executor executor,
            ScheduledExecutorService timers,
            Consumer<PollResult> responder) {
        Consumer<PollResult> endPoll =
                result -> {
                    synchronized (lock) {
                        lifecycle.pollEnded(result.endsResult(), System.nanoTime());
                    }
                    responder.accept(result);
                };
        PollResult result;
        synchronized (lock) {
            lifecycle.pollStarted(System.nanoTime());
            result = tryPoll(page);
            if (result == null && waitNs > 0) {
                PendingPoll poll = PendingPoll.respondingOn(executor, page, endPoll);
                poll.setTimeout(timers.schedule(() -> respond(poll), waitNs, TimeUnit.NANOSECONDS));
                pendingPolls.add(poll);
                return;
            }
        }
        endPoll.accept(result == null ? PollResult.pending() : result);
    }

    private List<PendingPoll> takePendingPolls() {
        List<PendingPoll> due = pendingPolls;
        pendingPolls = new ArrayList<>();
        return due;
    }

    private void respond(PendingPoll poll) {
        if (!poll.claim()) {
            return;
        }
        PollResult result;
        synchronized (lock) {
            pendingPolls.remove(poll);
            result = tryPoll(poll.page());
        }
        poll.respond(result == null ? PollResult.pending() : result);
    }

    /** Returns the result of a poll, or null while the page is pending. Callers hold the lock. */
    private PollResult tryPoll(int page) {
        if (lifecycle.state() == State.DISCARDED || lifecycle.state() == State.REMOVED) {
            return PollResult.of(discardedProblem());
        }
        PageWindow.PageState pageState = pages.request(page);
        return switch (pageState) {
            case AVAILABLE -> readPage(page);
            case RELEASED -> PollResult.of(ProblemDetail.pageReleased(page));
            case PENDING -> null;
            case INVALID -> PollResult.of(invalidPageProblem(page));
        };
    }

    private PollResult readPage(int page) {
        try {
            boolean last = pages.isLast(page) && resultError == null;
            return new PollResult(page, pages.read(page), header, last, null);
        } catch (IOException e) {
            resultError = ProblemDetail.resultLost(e);
            return PollResult.of(resultError);
        }
    }

    private ProblemDetail discardedProblem() {
        if (resultError != null) {
            return resultError;
        }
        return completion == null
                ? ProblemDetail.of(StatementOutcome.CLIENT_DISCONNECTED, null, 0)
                : completion.problem();
    }

    /** Returns the reason why a requested page does not exist. */
    private ProblemDetail invalidPageProblem(int page) {
        if (page != pages.nextPageNumber()) {
            return ProblemDetail.pageUnknown(page);
        }
        if (resultError != null) {
            return resultError;
        }
        boolean failed = completion != null && !completion.hasResult();
        return failed ? completion.problem() : ProblemDetail.pageUnknown(page);
    }

    StatementLifecycle.PendingAction pendingAction(long nowNs) {
        synchronized (lock) {
            return lifecycle.pendingAction(nowNs);
        }
    }

    /** Stops publishing and wakes a thread that waits to store a page. */
    void close() {
        closed = true;
        store.wake();
    }

    /** Discards all pages and responds to all pending polls. */
    void discard() {
        List<PendingPoll> due;
        synchronized (lock) {
            closed = true;
            pages.releaseAll();
            lifecycle.discard(System.nanoTime());
            due = takePendingPolls();
        }
        store.wake();
        due.forEach(this::respond);
    }

    /** Discards all pages because the router is shutting down. */
    void stop() {
        synchronized (lock) {
            if (resultError == null) {
                resultError = ProblemDetail.of(ProblemDetail.Kind.STOPPING, "");
            }
        }
        discard();
    }

    void remove() {
        synchronized (lock) {
            lifecycle.remove();
        }
    }

    State state() {
        synchronized (lock) {
            return lifecycle.state();
        }
    }

    /** Returns whether the last page was requested or the statement ended without a result. */
    boolean isFetched() {
        synchronized (lock) {
            return completion != null && (!completion.hasResult() || pages.isLastPageRequested());
        }
    }

    /** Returns the first retained page; negative if the result is discarded. */
    int firstRetainedPage() {
        synchronized (lock) {
            return lifecycle.state() == State.DISCARDED
                    ? PollResult.NO_PAGE
                    : pages.firstRetained();
        }
    }

    /** Returns the name of the state in the API. */
    String stateName() {
        synchronized (lock) {
            if (completion != null) {
                return completion.stateName();
            }
            return lifecycle.state() == State.DISCARDED ? "cancelled" : "running";
        }
    }

    long discardedNs() {
        synchronized (lock) {
            return lifecycle.discardedNs();
        }
    }
}
