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

class CauseTest {

    private final List<Attempt.End> ends = new ArrayList<>();

    private Attempt attempt(Phase phase) {
        Attempt a = new Attempt(1, 0, "q1", 0, -1, 0, (at, end) -> ends.add(end));
        a.advance(phase);
        return a;
    }

    @ParameterizedTest
    @EnumSource(Cause.class)
    void whatProvablyLackedSomethingNeverCountsAsRunAndWhatHadAllMayHave(Cause cause) {
        for (Phase phase : Phase.values()) {
            Outcome o = cause.outcome(phase);
            if (cause == Cause.SERVED) {
                assertTrue(o.mayHaveRun());
            } else if (!phase.mayRun()) {
                assertFalse(o.mayHaveRun(), cause + " while " + phase + " is " + o);
            } else if (cause != Cause.TURNED_AWAY && cause != Cause.NOT_WANTED
                    || phase == Phase.ANSWERING) {
                assertTrue(o.mayHaveRun(), cause + " while " + phase + " is " + o);
            }
        }
    }

    @Test
    void anEndIsToldOnceAndTheFirstCauseHolds() {
        for (Phase phase : EnumSet.complementOf(EnumSet.of(Phase.SENDING, Phase.ENDING))) {
            ends.clear();
            Attempt a = attempt(phase);
            a.abort(Cause.TIMED_OUT);
            assertFalse(a.advance(Phase.RUNNING));
            assertFalse(a.end(Cause.SERVED, Attempt.Told.NOTHING));
            a.abort(Cause.CALLED_OFF);
            assertEquals(1, ends.size(), phase.toString());
            assertEquals(Cause.TIMED_OUT.outcome(phase), ends.get(0).outcome());
        }
    }

    @Test
    void whileAWriteDecidesItsWriterTellsTheEnd() {
        for (Phase phase : List.of(Phase.SENDING, Phase.ENDING)) {
            ends.clear();
            Attempt failed = attempt(phase);
            failed.abort(Cause.TIMED_OUT);
            assertEquals(0, ends.size());
            failed.end(
                    Cause.BROKEN,
                    Attempt.Told.NOTHING); // the write threw: its last byte never left
            assertEquals(Outcome.NOT_SENT, ends.get(0).outcome());
            ends.clear();
            Attempt written = attempt(phase);
            written.abort(Cause.TIMED_OUT);
            assertFalse(
                    written.advance(
                            Phase.RUNNING)); // the write was through before the socket closed
            written.end(Cause.CALLED_OFF, Attempt.Told.NOTHING);
            assertEquals(Outcome.TIMED_OUT, ends.get(0).outcome());
        }
    }
}
