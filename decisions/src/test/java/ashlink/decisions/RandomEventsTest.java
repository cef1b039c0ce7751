package ashlink.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the workload manager with seeded streams of random events. */
class RandomEventsTest {

    @Test
    void randomEventsViolateNoInvariant() {
        for (long seed = 1; seed <= 5; seed++) {
            new RandomEventReplay(seed).run();
        }
    }

    @Test
    void equalEventsGiveEqualActions() {
        String expected = new RandomEventReplay(11).run();
        RouterHarness other = new RouterHarness(RandomEventReplay.settings());
        other.withEngines("x", "y");
        other.submit(1, "lookup", null, 10);
        assertEquals(expected, new RandomEventReplay(11).run());
    }
}
