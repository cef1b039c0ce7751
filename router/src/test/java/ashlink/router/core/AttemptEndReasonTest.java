package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Outcome;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the outcomes of attempts by phase and reason, and that the end of an attempt is reported
 * exactly once.
 */
class AttemptEndReasonTest {

    private final List<Attempt.AttemptEnd> ends = new ArrayList<>();

    private Attempt attempt(AttemptPhase phase) {
        Attempt attempt =
                new Attempt(
                        1,
                        0,
                        "q1",
                        0,
                        -1,
                        0,
                        () -> 0,
                        Long.MAX_VALUE,
                        (ended, end) -> ends.add(end));
        attempt.advance(phase);
        return attempt;
    }

    @ParameterizedTest
    @EnumSource(AttemptEndReason.class)
    void mayHaveRunOnlyAfterEngineReceivedCompleteStatement(AttemptEndReason reason) {
        for (AttemptPhase phase : AttemptPhase.values()) {
            Outcome outcome = reason.outcome(phase);
            if (reason == AttemptEndReason.SERVED) {
                assertTrue(outcome.mayHaveRun());
            } else if (!phase.mayRun()) {
                assertFalse(outcome.mayHaveRun(), reason + " while " + phase + " is " + outcome);
            } else if (reason != AttemptEndReason.REJECTED
                            && reason != AttemptEndReason.STALE_REQUEST
                    || phase == AttemptPhase.ANSWERING) {
                assertTrue(outcome.mayHaveRun(), reason + " while " + phase + " is " + outcome);
            }
        }
    }

    @Test
    void endIsReportedOnceWithReasonOfAbort() {
        for (AttemptPhase phase :
                EnumSet.complementOf(
                        EnumSet.of(AttemptPhase.SENDING, AttemptPhase.SENDING_DATA_END))) {
            ends.clear();
            Attempt attempt = attempt(phase);
            attempt.abort(AttemptEndReason.TIMED_OUT);
            assertFalse(attempt.advance(AttemptPhase.RUNNING));
            assertFalse(attempt.end(AttemptEndReason.SERVED, Attempt.AttemptReport.NONE));
            attempt.abort(AttemptEndReason.CANCELLED);
            assertEquals(1, ends.size(), phase.toString());
            assertEquals(AttemptEndReason.TIMED_OUT.outcome(phase), ends.get(0).outcome());
        }
    }

    @Test
    void abortDuringCompletingWriteIsReportedByWriter() {
        for (AttemptPhase phase : List.of(AttemptPhase.SENDING, AttemptPhase.SENDING_DATA_END)) {
            ends.clear();
            Attempt attemptWithFailedWrite = attempt(phase);
            attemptWithFailedWrite.abort(AttemptEndReason.TIMED_OUT);
            assertEquals(0, ends.size());
            // The write failed before the last byte was sent.
            attemptWithFailedWrite.end(
                    AttemptEndReason.CONNECTION_BROKEN, Attempt.AttemptReport.NONE);
            assertEquals(Outcome.NOT_SENT, ends.get(0).outcome());
            ends.clear();
            Attempt attemptWithCompletedWrite = attempt(phase);
            attemptWithCompletedWrite.abort(AttemptEndReason.TIMED_OUT);
            // The write completed before the socket was closed.
            assertFalse(attemptWithCompletedWrite.advance(AttemptPhase.RUNNING));
            attemptWithCompletedWrite.end(AttemptEndReason.CANCELLED, Attempt.AttemptReport.NONE);
            assertEquals(Outcome.TIMED_OUT, ends.get(0).outcome());
        }
    }
}
