package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * One attempt to execute a request on an engine. A worker thread advances the attempt through its
 * phases; a timeout or the decision module may abort it at any time. An attempt ends exactly once.
 * The end of an aborted attempt is reported without waiting for the worker, unless the worker is
 * writing the part of the statement after which the engine may execute it. Thread-safe.
 */
public final class Attempt {

    /**
     * Cost and load that an engine reports with its response.
     *
     * @param workMs execution time in milliseconds, 0 if unknown
     * @param memoryMb peak memory in MB, 0 if unknown
     * @param loadReport load of the engine, {@link LoadReport#NONE} if unknown
     */
    public record AttemptReport(double workMs, double memoryMb, LoadReport loadReport) {

        /** Report without any known value. */
        public static final AttemptReport NONE = new AttemptReport(0, 0, LoadReport.NONE);
    }

    /**
     * The end of an attempt.
     *
     * @param answered whether the final response of the client comes from this attempt
     */
    record AttemptEnd(
            AttemptEndReason reason, Outcome outcome, boolean answered, AttemptReport report) {}

    private final long id;
    private final int attemptNumber;
    private final String engine;
    private final long startNs;
    private final int priority;
    private final long memoryMb;
    private final LongSupplier clockNs;
    private final long sendBeforeNs;
    private final BiConsumer<Attempt, AttemptEnd> endListener;

    // Fields guarded by this.
    private AttemptPhase phase = AttemptPhase.QUEUED;
    private AttemptEndReason abortReason;
    private boolean ended;
    private Runnable abortHandler;
    private Future<?> timeout;

    /**
     * Creates an attempt.
     *
     * @param clockNs clock of the core
     * @param sendBeforeNs time from which on the statement must not be sent, on that clock
     */
    Attempt(
            long id,
            int attemptNumber,
            String engine,
            long startNs,
            int priority,
            long memoryMb,
            LongSupplier clockNs,
            long sendBeforeNs,
            BiConsumer<Attempt, AttemptEnd> endListener) {
        this.id = id;
        this.attemptNumber = attemptNumber;
        this.engine = engine;
        this.startNs = startNs;
        this.priority = priority;
        this.memoryMb = memoryMb;
        this.clockNs = clockNs;
        this.sendBeforeNs = sendBeforeNs;
        this.endListener = endListener;
    }

    /** Returns the number of the request. */
    public long id() {
        return id;
    }

    /** Returns the number of the attempt within its request; the first attempt has number 0. */
    public int attemptNumber() {
        return attemptNumber;
    }

    /** Returns the name of the engine that executes the attempt. */
    public String engine() {
        return engine;
    }

    /**
     * Returns the time at which the decision module started the attempt, on the clock of the core.
     */
    long startNs() {
        return startNs;
    }

    /**
     * Returns the time from which on the statement must not be sent, on the clock of the core;
     * {@link Long#MAX_VALUE} if there is none.
     */
    public long sendBeforeNs() {
        return sendBeforeNs;
    }

    /** Returns the priority on the engine from 0 to 3, or -1 if the decision module set none. */
    public int priority() {
        return priority;
    }

    /** Returns the granted memory in MB; 0 leaves the limit to the engine. */
    public long memoryMb() {
        return memoryMb;
    }

    /** Returns the current phase. */
    public synchronized AttemptPhase phase() {
        return phase;
    }

    /** Sets the timeout task, which is cancelled when the attempt ends. */
    synchronized void setTimeout(Future<?> timer) {
        timeout = timer;
        if (ended) {
            timer.cancel(false);
        }
    }

    /**
     * Sets the handler that closes the connection of the attempt on an abort. Runs the handler
     * immediately if the attempt is already aborted.
     */
    public void onAbort(Runnable handler) {
        synchronized (this) {
            abortHandler = handler;
            if (abortReason == null) {
                return;
            }
        }
        handler.run();
    }

    /**
     * Advances to a phase. The worker calls this method before it writes the bytes that lead to the
     * phase. Where these bytes begin to send the statement, the attempt is aborted if the statement
     * must not be sent any more: the attempt may have waited since it was started.
     *
     * @return false if the attempt has ended or was aborted; the worker then calls {@link #end}, so
     *     that the end is reported, and stops
     */
    public synchronized boolean advance(AttemptPhase next) {
        if (ended) {
            return false;
        }
        if (abortReason == null
                && phase.beginsToSend(next)
                && clockNs.getAsLong() >= sendBeforeNs) {
            abortReason = AttemptEndReason.REPEAT_WINDOW_ENDED;
            return false;
        }
        phase = next;
        return abortReason == null;
    }

    /**
     * Returns true if the attempt has ended or was aborted: no further part of its response may be
     * written to the client.
     */
    public synchronized boolean isOver() {
        return ended || abortReason != null;
    }

    /**
     * Aborts the attempt. If the worker is writing the part of the statement after which the engine
     * may execute it, the worker reports the end; otherwise the end is reported before this method
     * returns.
     */
    public void abort(AttemptEndReason reason) {
        Runnable handler;
        boolean endNow;
        synchronized (this) {
            if (ended || abortReason != null) {
                return;
            }
            abortReason = reason;
            endNow = !phase.isCompletingStatement();
            handler = abortHandler;
        }
        if (endNow) {
            end(reason, AttemptReport.NONE);
        }
        if (handler != null) {
            handler.run();
        }
    }

    /**
     * Ends the attempt unless it has already ended. An aborted attempt ends with the reason of the
     * abort.
     *
     * @return true if this call ended the attempt with the given reason
     */
    public boolean end(AttemptEndReason reason, AttemptReport report) {
        AttemptEnd end;
        Future<?> timer;
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
            AttemptEndReason effectiveReason = abortReason != null ? abortReason : reason;
            end =
                    new AttemptEnd(
                            effectiveReason,
                            effectiveReason.outcome(phase),
                            effectiveReason.providesFinalResponse(phase),
                            report);
            timer = timeout;
        }
        if (timer != null) {
            timer.cancel(false);
        }
        endListener.accept(this, end);
        return end.reason == reason;
    }
}
