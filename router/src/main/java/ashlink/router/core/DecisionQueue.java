package ashlink.router.core;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;

/**
 * The tasks that wait for the decision thread. Events, which follow from requests that were decided
 * before, come first: their number is bounded by the work in flight. Submissions come in turns, one
 * of each source, so that a source that submits much waits behind itself and not before others.
 * Thread-safe.
 */
final class DecisionQueue {

    /** Number of events after which a waiting submission has its turn. */
    static final int MAX_CONSECUTIVE_EVENTS = 16;

    // Guarded by this.
    private final ArrayDeque<QueuedTask> events = new ArrayDeque<>();

    /** The sources with waiting submissions, in the order of their turns. */
    private final LinkedHashSet<RequestSource> turns = new LinkedHashSet<>();

    private int consecutiveEvents;
    private int submissions;

    /** Adds an event. */
    synchronized void addEvent(QueuedTask event) {
        events.add(event);
        notifyAll();
    }

    /** Adds a submission. */
    synchronized void addSubmission(RequestSource source, QueuedTask submission) {
        source.waiting.add(submission);
        turns.add(source);
        submissions++;
        notifyAll();
    }

    /** Removes a submission. Returns false if it does not wait. */
    synchronized boolean removeSubmission(RequestSource source, QueuedTask submission) {
        if (!source.waiting.remove(submission)) {
            return false;
        }
        submissions--;
        if (source.waiting.isEmpty()) {
            turns.remove(source);
        }
        return true;
    }

    /** Returns the number of waiting tasks. */
    synchronized int size() {
        return events.size() + submissions;
    }

    /** Waits for a task and removes it. */
    synchronized QueuedTask take() throws InterruptedException {
        while (events.isEmpty() && turns.isEmpty()) {
            wait();
        }
        boolean isEventNext =
                turns.isEmpty() || !events.isEmpty() && consecutiveEvents < MAX_CONSECUTIVE_EVENTS;
        if (isEventNext) {
            consecutiveEvents++;
            return events.remove();
        }
        consecutiveEvents = 0;
        return takeSubmission();
    }

    private QueuedTask takeSubmission() {
        Iterator<RequestSource> next = turns.iterator();
        RequestSource source = next.next();
        next.remove();
        QueuedTask submission = source.waiting.remove();
        submissions--;
        if (!source.waiting.isEmpty()) {
            turns.add(source);
        }
        return submission;
    }
}
