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
        return new QueuedTask(() -> run.add(name), 0);
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
            queue.addSubmission(flooding, task("flood" + i));
        }
        queue.addSubmission(usual, task("usual"));
        assertEquals(List.of("flood0", "usual", "flood1", "flood2"), runTasks(4));
        assertEquals(997, queue.size());
    }

    @Test
    void eventsComeBeforeSubmissionsButDoNotStopThem() throws InterruptedException {
        queue.addSubmission(new RequestSource(), task("submission"));
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
        QueuedTask first = task("first");
        QueuedTask second = task("second");
        queue.addSubmission(source, first);
        queue.addSubmission(source, second);
        assertTrue(queue.removeSubmission(source, first));
        assertFalse(queue.removeSubmission(source, first));
        assertEquals(List.of("second"), runTasks(1));
        assertFalse(queue.removeSubmission(source, second), "it was taken");
        queue.addSubmission(source, first);
        assertTrue(queue.removeSubmission(source, first));
        queue.addSubmission(new RequestSource(), task("other"));
        assertEquals(List.of("other"), runTasks(1));
    }
}
