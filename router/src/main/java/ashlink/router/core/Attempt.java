package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.concurrent.Future;
import java.util.function.BiConsumer;

/**
 * One attempt at a request. A worker drives it through its phases; a time-out or the module may end
 * it at any moment. It ends exactly once, and how is told to the core at once, whatever its worker
 * waits for.
 */
public final class Attempt {

    /**
     * What an answer told besides its content; 0 and {@link LoadReport#NONE} where it told nothing.
     */
    public record AttemptReport(double workMs, double memoryMb, LoadReport loadReport) {

        /** An answer that told nothing. */
        public static final AttemptReport NONE = new AttemptReport(0, 0, LoadReport.NONE);
    }

    /** How an attempt ended. */
    record AttemptEnd(
            AttemptEndReason reason, Outcome outcome, boolean answered, AttemptReport report) {}

    private final long id;
    private final int attemptNumber;
    private final String engine;
    private final long startNs;
    private final int priority;
    private final long memoryMb;
    private final BiConsumer<Attempt, AttemptEnd> whenEnded;
    private AttemptPhase phase = AttemptPhase.QUEUED;
    private AttemptEndReason aborted;
    private boolean ended;
    private Runnable closer;
    private Future<?> timer;

    Attempt(
            long id,
            int shot,
            String engine,
            long startNs,
            int priority,
            long memoryMb,
            BiConsumer<Attempt, AttemptEnd> whenEnded) {
        this.id = id;
        this.attemptNumber = shot;
        this.engine = engine;
        this.startNs = startNs;
        this.priority = priority;
        this.memoryMb = memoryMb;
        this.whenEnded = whenEnded;
    }

    /** Number of the request. */
    public long id() {
        return id;
    }

    /** Number of the attempt, 0 for the first. */
    public int attemptNumber() {
        return attemptNumber;
    }

    /** Name of the engine that it goes to. */
    public String engine() {
        return engine;
    }

    /** When it was decided, on the core's clock. */
    long startNs() {
        return startNs;
    }

    /** Priority for the engine, 0 to 3, or -1 where the module named none. */
    public int priority() {
        return priority;
    }

    /** Memory granted, in MB; 0 is the engine's own choice. */
    public long memoryMb() {
        return memoryMb;
    }

    /** How far it has come. */
    public synchronized AttemptPhase phase() {
        return phase;
    }

    synchronized void timer(Future<?> future) {
        timer = future;
        if (ended) {
            future.cancel(false);
        }
    }

    /**
     * What closes the attempt's connection; run where the attempt is ended from outside, at once if
     * it was.
     */
    public void closer(Runnable task) {
        synchronized (this) {
            closer = task;
            if (aborted == null) {
                return;
            }
        }
        task.run();
    }

    /**
     * Goes on to a phase, before the bytes that make it true are written. False where the attempt
     * is over: the worker then calls {@link #end}, which makes sure that it is told, and stops.
     */
    public synchronized boolean advance(AttemptPhase to) {
        if (!ended) {
            phase = to;
        }
        return !ended && aborted == null;
    }

    /** True once nothing more of it may reach the client. */
    public synchronized boolean isOver() {
        return ended || aborted != null;
    }

    /**
     * Ends it from outside. While a write decides whether the statement can run, its worker tells
     * the end.
     */
    public void abort(AttemptEndReason cause) {
        Runnable close;
        boolean atOnce;
        synchronized (this) {
            if (ended || aborted != null) {
                return;
            }
            aborted = cause;
            atOnce = !phase.isBeingWritten();
            close = closer;
        }
        if (atOnce) {
            end(cause, AttemptReport.NONE);
        }
        if (close != null) {
            close.run();
        }
    }

    /**
     * Ends it, unless it has ended; true for the one call that did. An attempt ended from outside
     * keeps that cause.
     */
    public boolean end(AttemptEndReason cause, AttemptReport told) {
        AttemptEnd end;
        Future<?> future;
        synchronized (this) {
            if (ended) {
                return false;
            }
            ended = true;
            AttemptEndReason first = aborted != null ? aborted : cause;
            end = new AttemptEnd(first, first.outcome(phase), first.answers(phase), told);
            future = timer;
        }
        if (future != null) {
            future.cancel(false);
        }
        whenEnded.accept(this, end);
        return end.reason == cause;
    }
}
