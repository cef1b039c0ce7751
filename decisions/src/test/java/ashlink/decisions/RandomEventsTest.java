package ashlink.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A seeded stream of random events. */
class RandomEventsTest {

    @Test
    void randomEventsViolateNoRule() {
        for (long seed = 1; seed <= 5; seed++) {
            new RandomEventReplay(seed).run();
        }
    }

    @Test
    void sameEventsGiveTheSameActions() {
        String alone = new RandomEventReplay(11).run();
        RouterHarness other = new RouterHarness(RandomEventReplay.settings());
        other.withEngines("x", "y");
        other.submit(1, "lookup", null, 10);
        assertEquals(alone, new RandomEventReplay(11).run());
    }
}
