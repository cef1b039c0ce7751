package ashlink.fleet.supervise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ashlink.fleet.supervise.RestartPolicy.Decision;
import ashlink.fleet.supervise.RestartPolicy.RestartAction;
import org.junit.jupiter.api.Test;

/** Tests the decisions after exits at given times. */
class RestartPolicyTest {

    private static final long NS_PER_S = 1_000_000_000L;

    @Test
    void backoffGrowsToCrashLoopAndStableRunResetsIt() {
        RestartPolicy policy = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        assertEquals(
                new Decision(RestartAction.RESTART, NS_PER_S / 2),
                policy.onExit(0, NS_PER_S, 137, false));
        assertEquals(
                new Decision(RestartAction.RESTART, NS_PER_S),
                policy.onExit(2 * NS_PER_S, 3 * NS_PER_S, 137, false));
        assertEquals(
                new Decision(RestartAction.RESTART, 2 * NS_PER_S),
                policy.onExit(4 * NS_PER_S, 5 * NS_PER_S, 1, false));
        assertEquals(
                new Decision(RestartAction.RESTART, 0),
                policy.onExit(10 * NS_PER_S, 80 * NS_PER_S, 137, false));
        assertEquals(
                new Decision(RestartAction.RESTART, NS_PER_S / 2),
                policy.onExit(81 * NS_PER_S, 82 * NS_PER_S, 137, false));
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    RestartAction.RESTART,
                    policy.onExit(90 * NS_PER_S + i, 91 * NS_PER_S + i, 137, false).action());
        }
        assertEquals(
                new Decision(RestartAction.CRASH_LOOP, 30 * NS_PER_S),
                policy.onExit(100 * NS_PER_S, 101 * NS_PER_S, 137, false));
        assertEquals(
                RestartAction.RESTART,
                policy.onExit(1_000 * NS_PER_S, 1_001 * NS_PER_S, 137, false).action(),
                "the crash loop has ended");
    }

    @Test
    void requestedExitAndInvalidSettingsAreNotRestarted() {
        RestartPolicy policy = new RestartPolicy(RestartPolicy.RestartLimits.DEFAULT);
        assertEquals(RestartAction.NONE, policy.onExit(0, NS_PER_S, 0, false).action());
        assertEquals(RestartAction.NONE, policy.onExit(0, NS_PER_S, 143, true).action());
        assertEquals(RestartAction.GIVE_UP, policy.onExit(0, NS_PER_S, 2, false).action());
    }
}
