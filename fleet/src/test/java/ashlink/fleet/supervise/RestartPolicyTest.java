package ashlink.fleet.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.fleet.supervise.RestartPolicy.Decision;
import ashlink.fleet.supervise.RestartPolicy.What;
import org.junit.jupiter.api.Test;

/** Restarts after exits at given times. */
class RestartPolicyTest {

    private static final long S = 1_000_000_000L;

    @Test
    void backoffGrowsToCrashLoopAndStableRunResetsIt() {
        RestartPolicy restartPolicy = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        assertEquals(new Decision(What.AGAIN, S / 2), restartPolicy.ended(0, S, 137, false));
        assertEquals(new Decision(What.AGAIN, S), restartPolicy.ended(2 * S, 3 * S, 137, false));
        assertEquals(new Decision(What.AGAIN, 2 * S), restartPolicy.ended(4 * S, 5 * S, 1, false));
        assertEquals(new Decision(What.AGAIN, 0), restartPolicy.ended(10 * S, 80 * S, 137, false));
        assertEquals(
                new Decision(What.AGAIN, S / 2), restartPolicy.ended(81 * S, 82 * S, 137, false));
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    What.AGAIN, restartPolicy.ended(90 * S + i, 91 * S + i, 137, false).what());
        }
        assertEquals(
                new Decision(What.LOOP, 30 * S), restartPolicy.ended(100 * S, 101 * S, 137, false));
        assertEquals(
                What.AGAIN,
                restartPolicy.ended(1_000 * S, 1_001 * S, 137, false).what(),
                "long after, it is none any more");
    }

    @Test
    void requestedExitAndInvalidSettingsAreNotRestarted() {
        RestartPolicy restartPolicy = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        assertEquals(What.DONE, restartPolicy.ended(0, S, 0, false).what());
        assertEquals(What.DONE, restartPolicy.ended(0, S, 143, true).what());
        assertEquals(What.GIVE_UP, restartPolicy.ended(0, S, 2, false).what());
    }
}
