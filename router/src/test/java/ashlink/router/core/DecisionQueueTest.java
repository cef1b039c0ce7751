package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of tasks at the decision thread. */
@Timeout(30)
class DecisionQueueTest {

    private final DecisionQueue queue = new DecisionQueue();
    private final List<String> run = new ArrayList<>();

    private QueuedTask task(String name) {
        return task(null, null, name);
    }

    private QueuedTask task(RequestSource source, String orderingKey, String name) {
        return new QueuedTask(source, orderingKey, () -> run.add(name), 0);
    }

    private List<String> runTasks(int count) throws InterruptedException {
        run.clear();
        for (int i = 0; i < count; i++) {
            queue.take().task().run();
        }
        return List.copyOf(run);
    }

    @Test
    void aSourceThatSubmitsMuchWaitsBehindItself() throws InterruptedException {
        RequestSource flooding = new RequestSource();
        RequestSource usual = new RequestSource();
        for (int i = 0; i < 1_000; i++) {
            queue.addSubmission(task(flooding, null, "flood" + i));
        }
        queue.addSubmission(task(usual, null, "usual"));
        assertEquals(List.of("flood0", "usual", "flood1", "flood2"), runTasks(4));
        assertEquals(997, queue.size());
    }

    @Test
    void eventsComeBeforeSubmissionsButDoNotStopThem() throws InterruptedException {
        queue.addSubmission(task(new RequestSource(), null, "submission"));
        for (int i = 0; i < 2 * DecisionQueue.MAX_CONSECUTIVE_EVENTS; i++) {
            queue.addEvent(task("event"));
        }
        List<String> order = runTasks(2 * DecisionQueue.MAX_CONSECUTIVE_EVENTS + 1);
        assertEquals(DecisionQueue.MAX_CONSECUTIVE_EVENTS, order.indexOf("submission"));
        assertEquals(0, queue.size());
    }

    @Test
    void aWithdrawnSubmissionLosesItsTurn() throws InterruptedException {
        RequestSource source = new RequestSource();
        QueuedTask first = task(source, null, "first");
        QueuedTask second = task(source, null, "second");
        queue.addSubmission(first);
        queue.addSubmission(second);
        assertTrue(queue.removeSubmission(first));
        assertFalse(queue.removeSubmission(first));
        assertEquals(List.of("second"), runTasks(1));
        assertFalse(queue.removeSubmission(second), "it was taken");
        queue.addSubmission(first);
        assertTrue(queue.removeSubmission(first));
        queue.addSubmission(task(new RequestSource(), null, "other"));
        assertEquals(List.of("other"), runTasks(1));
    }

    /**
     * Guards against a later load of a key that overtakes at the decision thread (review case 8).
     */
    @Test
    void submissionsOfAKeyKeepTheirOrderOverAllSources() throws InterruptedException {
        RequestSource busy = new RequestSource();
        RequestSource usual = new RequestSource();
        for (int i = 0; i < 3; i++) {
            queue.addSubmission(task(busy, null, "busy" + i));
        }
        queue.addSubmission(task(busy, "k", "earlier"));
        queue.addSubmission(task(usual, "k", "later"));
        queue.addSubmission(task(usual, "other", "free"));
        assertEquals(List.of("busy0", "earlier", "busy1", "later", "busy2", "free"), runTasks(6));
        assertEquals(0, queue.size());
    }

    @Test
    void aWithdrawnSubmissionHoldsNoOtherOfItsKey() throws InterruptedException {
        RequestSource source = new RequestSource();
        QueuedTask earlier = task(source, "k", "earlier");
        queue.addSubmission(earlier);
        queue.addSubmission(task(new RequestSource(), "k", "later"));
        assertTrue(queue.removeSubmission(earlier));
        assertEquals(List.of("later"), runTasks(1));
    }
}
