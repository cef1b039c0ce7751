package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.router.core.Attempt.AttemptReport;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the time to send a request again is asked for when it is sent, not when chosen. */
@Timeout(30)
class RepeatWindowTest {

    private static final long MS = 1_000_000;
    private static final long WINDOW_MS = 150;
    private static final long SEND_BEFORE_NS = 1_000 * MS;

    private static final QueryClass KEYED =
            new QueryClass(
                    "keyed",
                    1_000 * MS,
                    1,
                    10_000 * MS,
                    RetrySafety.DEDUPLICATED,
                    DeduplicationScope.ALL,
                    WINDOW_MS * MS,
                    1,
                    0,
                    false,
                    Set.of(),
                    Set.of(),
                    1,
                    false,
                    false);

    private final List<Attempt.AttemptEnd> ends = new ArrayList<>();
    private long nowNs;

    private Attempt attempt() {
        return new Attempt(
                1, 1, "e", 0, -1, 0, () -> nowNs, SEND_BEFORE_NS, (ended, end) -> ends.add(end));
    }

    @Test
    void anAttemptBeginsToSendWithinTheWindowOnly() {
        for (AttemptPhase first : List.of(AttemptPhase.SENDING, AttemptPhase.RUNNING)) {
            ends.clear();
            nowNs = SEND_BEFORE_NS - 1;
            assertTrue(attempt().advance(first));
            Attempt late = attempt();
            assertTrue(late.advance(AttemptPhase.CONNECTING));
            nowNs = SEND_BEFORE_NS;
            assertFalse(late.advance(first));
            assertFalse(late.end(AttemptEndReason.CANCELLED, AttemptReport.NONE));
            assertEquals(1, ends.size());
            assertEquals(AttemptEndReason.REPEAT_WINDOW_ENDED, ends.get(0).reason());
            assertEquals(Outcome.NOT_SENT, ends.get(0).outcome());
        }
    }

    @Test
    void whatIsSentInTimeMayRunLater() {
        nowNs = SEND_BEFORE_NS - 1;
        Attempt attempt = attempt();
        assertTrue(attempt.advance(AttemptPhase.SENDING));
        nowNs = 2 * SEND_BEFORE_NS;
        assertTrue(attempt.advance(AttemptPhase.RUNNING));
        assertTrue(attempt.advance(AttemptPhase.ANSWERING));
    }

    @Test
    void theEndOfTheDataOfAnInsertIsSentWithinTheWindowOnly() {
        nowNs = SEND_BEFORE_NS - 1;
        Attempt attempt = attempt();
        assertTrue(attempt.advance(AttemptPhase.SENDING));
        assertTrue(attempt.advance(AttemptPhase.SENDING_DATA));
        nowNs = SEND_BEFORE_NS;
        assertFalse(attempt.advance(AttemptPhase.SENDING_DATA_END));
        attempt.end(AttemptEndReason.CANCELLED, AttemptReport.NONE);
        assertEquals(Outcome.NOT_SENT, ends.get(0).outcome());
    }

    /**
     * Guards against a keyed load that is sent again after its key is forgotten, because its
     * connection came up late (review case 10).
     */
    @Test
    void aRepeatThatWaitedForItsConnectionBeyondTheWindowIsNotSent() throws InterruptedException {
        CoreClock clock = new CoreClock();
        List<Outcome> outcomes = new CopyOnWriteArrayList<>();
        BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();
        CountDownLatch failed = new CountDownLatch(1);
        Core core =
                TestCores.create(
                        (event, nowNs) -> repeatOnce(event, outcomes),
                        Map.of(KEYED.name(), KEYED),
                        clock);
        core.start();
        core.submit(
                new CoreRequest("keyed", null, 0, 60_000 * MS, 0, 0, ""), sink(attempts, failed));
        long startNs = clock.nowNs();
        Attempt first = attempts.take();
        assertTrue(first.advance(AttemptPhase.RUNNING));
        first.end(AttemptEndReason.CONNECTION_BROKEN, AttemptReport.NONE);
        Attempt repeat = attempts.take();
        assertTrue(repeat.advance(AttemptPhase.CONNECTING));
        while (clock.nowNs() - startNs < WINDOW_MS * MS) {
            Thread.sleep(1);
        }
        assertFalse(repeat.advance(AttemptPhase.RUNNING));
        repeat.end(AttemptEndReason.CANCELLED, AttemptReport.NONE);
        failed.await();
        assertEquals(List.of(Outcome.RESET, Outcome.NOT_SENT), outcomes);
        core.kill();
    }

    private static List<Action> repeatOnce(Event event, List<Outcome> outcomes) {
        if (event instanceof QuerySubmitted submitted) {
            return List.of(new StartAttempt(submitted.id(), "e", 60_000 * MS));
        }
        if (event instanceof AttemptEnded ended) {
            outcomes.add(ended.outcome());
            return ended.outcome() == Outcome.RESET
                    ? List.of(new StartAttempt(ended.id(), "e", 60_000 * MS))
                    : List.of(new Fail(ended.id()));
        }
        return List.of();
    }

    private static ResponseSink sink(BlockingQueue<Attempt> attempts, CountDownLatch failed) {
        return new TestCores.IgnoredResponses() {
            @Override
            public void start(Attempt attempt) {
                attempts.add(attempt);
            }

            @Override
            public void fail() {
                failed.countDown();
            }
        };
    }
}
