package ashlink.router.http;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/** A poll that waits for a page. Several threads may try to respond; only the first one does. */
final class PendingPoll {

    private final int page;
    private final Consumer<PollResult> responder;
    private final AtomicBoolean claimed = new AtomicBoolean();

    /** Null until set by {@link #setTimeout}; the timeout may fire before that. */
    private volatile Future<?> timeout;

    private PendingPoll(int page, Consumer<PollResult> responder) {
        this.page = page;
        this.responder = responder;
    }

    /** Creates a poll whose responder runs on an executor, or on the calling thread at shutdown. */
    static PendingPoll respondingOn(Executor executor, int page, Consumer<PollResult> responder) {
        return new PendingPoll(
                page,
                result -> {
                    try {
                        executor.execute(() -> responder.accept(result));
                    } catch (RejectedExecutionException e) {
                        // The server is shutting down.
                        responder.accept(result);
                    }
                });
    }

    int page() {
        return page;
    }

    void setTimeout(Future<?> future) {
        timeout = future;
    }

    /** Returns true only for the first caller, which has to respond; cancels the timeout. */
    boolean claim() {
        if (!claimed.compareAndSet(false, true)) {
            return false;
        }
        Future<?> scheduled = timeout;
        if (scheduled != null) {
            scheduled.cancel(false);
        }
        return true;
    }

    void respond(PollResult result) {
        responder.accept(result);
    }
}
