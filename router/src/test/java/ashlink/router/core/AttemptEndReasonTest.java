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

class AttemptEndReasonTest {

    private final List<Attempt.AttemptEnd> ends = new ArrayList<>();

    private Attempt attempt(AttemptPhase phase) {
        Attempt attempt = new Attempt(1, 0, "q1", 0, -1, 0, (at, end) -> ends.add(end));
        attempt.advance(phase);
        return attempt;
    }

    @ParameterizedTest
    @EnumSource(AttemptEndReason.class)
    void whatProvablyLackedSomethingNeverCountsAsRunAndWhatHadAllMayHave(AttemptEndReason cause) {
        for (AttemptPhase phase : AttemptPhase.values()) {
            Outcome outcome = cause.outcome(phase);
            if (cause == AttemptEndReason.SERVED) {
                assertTrue(outcome.mayHaveRun());
            } else if (!phase.mayRun()) {
                assertFalse(outcome.mayHaveRun(), cause + " while " + phase + " is " + outcome);
            } else if (cause != AttemptEndReason.REJECTED && cause != AttemptEndReason.STALE_REQUEST
                    || phase == AttemptPhase.ANSWERING) {
                assertTrue(outcome.mayHaveRun(), cause + " while " + phase + " is " + outcome);
            }
        }
    }

    @Test
    void anEndIsToldOnceAndTheFirstCauseHolds() {
        for (AttemptPhase phase :
                EnumSet.complementOf(EnumSet.of(AttemptPhase.SENDING, AttemptPhase.ENDING))) {
            ends.clear();
            Attempt a = attempt(phase);
            a.abort(AttemptEndReason.TIMED_OUT);
            assertFalse(a.advance(AttemptPhase.RUNNING));
            assertFalse(a.end(AttemptEndReason.SERVED, Attempt.AttemptReport.NONE));
            a.abort(AttemptEndReason.CANCELLED);
            assertEquals(1, ends.size(), phase.toString());
            assertEquals(AttemptEndReason.TIMED_OUT.outcome(phase), ends.get(0).outcome());
        }
    }

    @Test
    void whileAWriteDecidesItsWriterTellsTheEnd() {
        for (AttemptPhase phase : List.of(AttemptPhase.SENDING, AttemptPhase.ENDING)) {
            ends.clear();
            Attempt failed = attempt(phase);
            failed.abort(AttemptEndReason.TIMED_OUT);
            assertEquals(0, ends.size());
            failed.end(
                    AttemptEndReason.CONNECTION_BROKEN,
                    Attempt.AttemptReport.NONE); // the write threw: its last byte never left
            assertEquals(Outcome.NOT_SENT, ends.get(0).outcome());
            ends.clear();
            Attempt written = attempt(phase);
            written.abort(AttemptEndReason.TIMED_OUT);
            assertFalse(
                    written.advance(
                            AttemptPhase
                                    .RUNNING)); // the write was through before the socket closed
            written.end(AttemptEndReason.CANCELLED, Attempt.AttemptReport.NONE);
            assertEquals(Outcome.TIMED_OUT, ends.get(0).outcome());
        }
    }
}
