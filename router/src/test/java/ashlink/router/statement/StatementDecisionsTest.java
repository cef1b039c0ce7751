package ashlink.router.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Fate;
import ashlink.router.statement.IdempotencyKeyTable.Verdict;
import ashlink.router.statement.PageWindow.Kind;
import ashlink.router.statement.StatementLifecycle.State;
import ashlink.router.statement.StatementLifecycle.Wish;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StatementDecisionsTest {

    private static final StatementLifecycle.Terms TERMS =
            new StatementLifecycle.Terms(30, 60, 10, 300);

    @Test
    void aStatementThatNobodyAsksForIsCalledOffAndOneThatIsAskedForIsNot() {
        StatementLifecycle l = new StatementLifecycle(TERMS, 0);
        assertEquals(Wish.NOTHING, l.wish(29));
        assertEquals(Wish.ABANDON, l.wish(30));
        l.asked(30);
        assertEquals(Wish.NOTHING, l.wish(1_000), "an asker waits");
        l.waited(false, 1_000);
        assertEquals(Wish.NOTHING, l.wish(1_029));
        assertEquals(Wish.ABANDON, l.wish(1_030));
    }

    @Test
    void anAnswerIsKeptForItsTimeAndShorterOnceItsEndWasFetched() {
        StatementLifecycle l = new StatementLifecycle(TERMS, 0);
        assertTrue(l.answered(100));
        assertFalse(l.answered(101), "once only");
        assertEquals(Wish.NOTHING, l.wish(159));
        assertEquals(Wish.DISCARD, l.wish(160));
        l.asked(160);
        l.waited(true, 165);
        assertEquals(Wish.NOTHING, l.wish(174));
        assertEquals(Wish.DISCARD, l.wish(175));
        l.discarded(175);
        assertEquals(State.GONE, l.state());
        assertEquals(Wish.NOTHING, l.wish(474));
        assertEquals(Wish.FORGET, l.wish(475));
        l.forgotten();
        assertEquals(Wish.NOTHING, l.wish(10_000));
        assertEquals(Wish.NOTHING, l.wish(0), "a clock that goes back brings nothing back");
    }

    @Test
    void aPageCanBeAskedForAgainUntilTheOneAfterTheNextIsAskedFor() {
        PageWindow w = new PageWindow();
        assertEquals(Kind.NOT_YET, w.ask(0));
        assertEquals(Kind.NEVER, w.ask(1), "pages are asked for in order");
        for (int i = 0; i < 4; i++) {
            assertEquals(i, w.close());
        }
        assertEquals(Kind.THERE, w.ask(0));
        assertEquals(Kind.THERE, w.ask(1));
        assertEquals(Kind.THERE, w.ask(0));
        assertEquals(Kind.THERE, w.ask(2));
        assertEquals(Kind.GONE, w.ask(0));
        assertEquals(Kind.THERE, w.ask(1));
        assertEquals(Kind.THERE, w.ask(3));
        assertEquals(Kind.NOT_YET, w.ask(4));
        assertFalse(w.isLast(3));
        w.end();
        assertTrue(w.isLast(3) && w.isEndFetched());
        assertEquals(Kind.NEVER, w.ask(4));
        w.dropAll();
        assertEquals(Kind.GONE, w.ask(3));
    }

    @Property(tries = 200, seed = "7")
    void noBudgetIsEverOverdrawnAndAllComesBack(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SpoolBudget b = new SpoolBudget(new SpoolBudget.Limits(40, 70, 100, 12));
        Map<String, Long> held = new HashMap<>();
        Map<String, Long> byUser = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            int n = random.nextInt(12);
            String s = "s" + n;
            String user = "u" + n % 3;
            if (random.nextInt(3) > 0) {
                long bytes = 1 + random.nextInt(45);
                SpoolBudget.Verdict v = b.ask(s, user, bytes);
                assertEquals(bytes > 40, v == SpoolBudget.Verdict.NEVER);
                if (v == SpoolBudget.Verdict.GRANTED) {
                    held.merge(s, bytes, Long::sum);
                    byUser.merge(user, bytes, Long::sum);
                }
            } else if (held.getOrDefault(s, 0L) > 0) {
                long bytes = 1 + random.nextLong(held.get(s));
                b.release(s, bytes);
                held.merge(s, -bytes, Long::sum);
                byUser.merge(user, -bytes, Long::sum);
            }
            assertTrue(
                    held.values().stream().allMatch(x -> x <= 40)
                            && byUser.values().stream().allMatch(x -> x <= 70));
            assertEquals(held.values().stream().mapToLong(x -> x).sum(), b.taken());
            assertTrue(b.taken() <= 100);
            assertEquals(byUser.getOrDefault("u1", 0L), b.takenBy("u1"));
        }
        held.forEach((s, bytes) -> b.release(s, bytes));
        assertEquals(0, b.taken());
        assertEquals(SpoolBudget.Verdict.GRANTED, b.ask("new", "u", 40));
    }

    @Test
    void resultsThatNobodyFetchesLeaveRoomForTheFirstPageOfAnother() {
        SpoolBudget b = new SpoolBudget(new SpoolBudget.Limits(100, 100, 100, 10));
        assertEquals(SpoolBudget.Verdict.GRANTED, b.ask("hog", "u", 80));
        assertEquals(SpoolBudget.Verdict.WAIT, b.ask("hog", "u", 11));
        assertEquals(SpoolBudget.Verdict.GRANTED, b.ask("hog", "u", 10));
        assertEquals(SpoolBudget.Verdict.GRANTED, b.ask("other", "v", 10), "the reserve");
        assertEquals(SpoolBudget.Verdict.WAIT, b.ask("other", "v", 1));
        b.release("hog", 50);
        assertEquals(SpoolBudget.Verdict.GRANTED, b.ask("other", "v", 40));
    }

    @Test
    void aKeyHoldsItsStatementUntilItsTimeIsOver() {
        IdempotencyKeyTable t = new IdempotencyKeyTable(2, 1_000);
        assertEquals(Verdict.NEW, t.claim("u", "k", "d1", "s1", 0).verdict());
        assertEquals("s1", t.claim("u", "k", "d1", "s2", 1).entry().statement());
        assertEquals(Verdict.SAME, t.claim("u", "k", "d1", "s2", 1).verdict());
        assertEquals(Verdict.OTHER, t.claim("u", "k", "d2", "s2", 1).verdict());
        assertEquals(
                Verdict.NEW,
                t.claim("v", "k", "d2", "s3", 2).verdict(),
                "keys are each user's own");
        assertEquals(Verdict.FULL, t.claim("u", "l", "d", "s4", 3).verdict());
        t.put(t.ofStatement("s1").answered(StatementOutcome.SERVED));
        assertEquals(
                Verdict.FULL,
                t.claim("u", "l", "d", "s4", 999).verdict(),
                "no key goes before its time");
        assertEquals(Verdict.NEW, t.claim("u", "l", "d", "s4", 1_000).verdict());
        assertEquals(
                Verdict.SAME,
                t.claim("v", "k", "d2", "s5", 9_000).verdict(),
                "one under way is never let go");
        assertEquals(List.of(), t.expire(500));
    }

    @Test
    void afterARestartWhatWasUnderWayHasAnUnknownFate() {
        Entry open = new Entry("u", "k", "d", "s", Fate.OPEN, null, 5);
        assertEquals(Fate.UNKNOWN, open.afterRestart().fate());
        assertEquals(Fate.ANSWERED, open.answered(StatementOutcome.SERVED).afterRestart().fate());
        IdempotencyKeyTable t = new IdempotencyKeyTable(2, 1_000);
        t.put(open.afterRestart());
        assertEquals(Verdict.SAME, t.claim("u", "k", "d", "s9", 6).verdict());
        t.release("u", "k");
        assertEquals(
                Verdict.NEW,
                t.claim("u", "k", "d", "s9", 6).verdict(),
                "what was refused may come again");
    }
}
