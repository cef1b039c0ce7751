package ashlink.router.core;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * The tasks that wait for the decision thread. Events, which follow from requests that were decided
 * before, come first: their number is bounded by the work in flight. Submissions come in turns, one
 * of each source, so that a source that submits much waits behind itself and not before others. Of
 * the submissions of one ordering key, the earliest takes the turn of whichever source comes first.
 * Thread-safe.
 */
final class DecisionQueue {

    /** Number of events after which a waiting submission has its turn. */
    static final int MAX_CONSECUTIVE_EVENTS = 16;

    // Guarded by this.
    private final ArrayDeque<QueuedTask> events = new ArrayDeque<>();

    /** The sources with waiting submissions, in the order of their turns. */
    private final LinkedHashSet<RequestSource> turns = new LinkedHashSet<>();

    /** The waiting submissions of each ordering key, in the order in which they were added. */
    private final Map<String, ArrayDeque<QueuedTask>> waitingByKey = new HashMap<>();

    private int consecutiveEvents;
    private int submissions;

    /** Adds an event. */
    synchronized void addEvent(QueuedTask event) {
        events.add(event);
        notifyAll();
    }

    /** Adds a submission. */
    synchronized void addSubmission(QueuedTask submission) {
        submission.source().waiting.add(submission);
        turns.add(submission.source());
        if (submission.orderingKey() != null) {
            waitingByKey
                    .computeIfAbsent(submission.orderingKey(), key -> new ArrayDeque<>(1))
                    .add(submission);
        }
        submissions++;
        notifyAll();
    }

    /** Removes a submission. Returns false if it does not wait. */
    synchronized boolean removeSubmission(QueuedTask submission) {
        RequestSource source = submission.source();
        if (!source.waiting.remove(submission)) {
            return false;
        }
        submissions--;
        removeFromKey(submission);
        if (source.waiting.isEmpty()) {
            turns.remove(source);
        }
        return true;
    }

    private void removeFromKey(QueuedTask submission) {
        String key = submission.orderingKey();
        if (key == null) {
            return;
        }
        ArrayDeque<QueuedTask> ofKey = waitingByKey.get(key);
        ofKey.remove(submission);
        if (ofKey.isEmpty()) {
            waitingByKey.remove(key);
        }
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
        RequestSource source = turns.iterator().next();
        QueuedTask next = source.waiting.peek();
        QueuedTask submission =
                next.orderingKey() == null ? next : waitingByKey.get(next.orderingKey()).peek();
        // The turn is used up, also where an earlier submission of another source takes it.
        turns.remove(source);
        turns.add(source);
        removeSubmission(submission);
        return submission;
    }
}
