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
        StatementLifecycle statementLifecycle = new StatementLifecycle(TERMS, 0);
        assertEquals(Wish.NOTHING, statementLifecycle.wish(29));
        assertEquals(Wish.ABANDON, statementLifecycle.wish(30));
        statementLifecycle.asked(30);
        assertEquals(Wish.NOTHING, statementLifecycle.wish(1_000), "an asker waits");
        statementLifecycle.waited(false, 1_000);
        assertEquals(Wish.NOTHING, statementLifecycle.wish(1_029));
        assertEquals(Wish.ABANDON, statementLifecycle.wish(1_030));
    }

    @Test
    void anAnswerIsKeptForItsTimeAndShorterOnceItsEndWasFetched() {
        StatementLifecycle statementLifecycle = new StatementLifecycle(TERMS, 0);
        assertTrue(statementLifecycle.answered(100));
        assertFalse(statementLifecycle.answered(101), "once only");
        assertEquals(Wish.NOTHING, statementLifecycle.wish(159));
        assertEquals(Wish.DISCARD, statementLifecycle.wish(160));
        statementLifecycle.asked(160);
        statementLifecycle.waited(true, 165);
        assertEquals(Wish.NOTHING, statementLifecycle.wish(174));
        assertEquals(Wish.DISCARD, statementLifecycle.wish(175));
        statementLifecycle.discarded(175);
        assertEquals(State.GONE, statementLifecycle.state());
        assertEquals(Wish.NOTHING, statementLifecycle.wish(474));
        assertEquals(Wish.FORGET, statementLifecycle.wish(475));
        statementLifecycle.forgotten();
        assertEquals(Wish.NOTHING, statementLifecycle.wish(10_000));
        assertEquals(
                Wish.NOTHING,
                statementLifecycle.wish(0),
                "a clock that goes back brings nothing back");
    }

    @Test
    void aPageCanBeAskedForAgainUntilTheOneAfterTheNextIsAskedFor() {
        PageWindow pageWindow = new PageWindow();
        assertEquals(Kind.NOT_YET, pageWindow.ask(0));
        assertEquals(Kind.NEVER, pageWindow.ask(1), "pages are asked for in order");
        for (int i = 0; i < 4; i++) {
            assertEquals(i, pageWindow.close());
        }
        assertEquals(Kind.THERE, pageWindow.ask(0));
        assertEquals(Kind.THERE, pageWindow.ask(1));
        assertEquals(Kind.THERE, pageWindow.ask(0));
        assertEquals(Kind.THERE, pageWindow.ask(2));
        assertEquals(Kind.GONE, pageWindow.ask(0));
        assertEquals(Kind.THERE, pageWindow.ask(1));
        assertEquals(Kind.THERE, pageWindow.ask(3));
        assertEquals(Kind.NOT_YET, pageWindow.ask(4));
        assertFalse(pageWindow.isLast(3));
        pageWindow.end();
        assertTrue(pageWindow.isLast(3) && pageWindow.isEndFetched());
        assertEquals(Kind.NEVER, pageWindow.ask(4));
        pageWindow.dropAll();
        assertEquals(Kind.GONE, pageWindow.ask(3));
    }

    @Property(tries = 200, seed = "7")
    void noBudgetIsEverOverdrawnAndAllComesBack(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SpoolBudget spoolBudget = new SpoolBudget(new SpoolBudget.Limits(40, 70, 100, 12));
        Map<String, Long> held = new HashMap<>();
        Map<String, Long> byUser = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            int n = random.nextInt(12);
            String text = "s" + n;
            String user = "u" + n % 3;
            if (random.nextInt(3) > 0) {
                long bytes = 1 + random.nextInt(45);
                SpoolBudget.Verdict verdict = spoolBudget.ask(text, user, bytes);
                assertEquals(bytes > 40, verdict == SpoolBudget.Verdict.NEVER);
                if (verdict == SpoolBudget.Verdict.GRANTED) {
                    held.merge(text, bytes, Long::sum);
                    byUser.merge(user, bytes, Long::sum);
                }
            } else if (held.getOrDefault(text, 0L) > 0) {
                long bytes = 1 + random.nextLong(held.get(text));
                spoolBudget.release(text, bytes);
                held.merge(text, -bytes, Long::sum);
                byUser.merge(user, -bytes, Long::sum);
            }
            assertTrue(
                    held.values().stream().allMatch(x -> x <= 40)
                            && byUser.values().stream().allMatch(x -> x <= 70));
            assertEquals(held.values().stream().mapToLong(x -> x).sum(), spoolBudget.taken());
            assertTrue(spoolBudget.taken() <= 100);
            assertEquals(byUser.getOrDefault("u1", 0L), spoolBudget.takenBy("u1"));
        }
        held.forEach((text, bytes) -> spoolBudget.release(text, bytes));
        assertEquals(0, spoolBudget.taken());
        assertEquals(SpoolBudget.Verdict.GRANTED, spoolBudget.ask("new", "u", 40));
    }

    @Test
    void resultsThatNobodyFetchesLeaveRoomForTheFirstPageOfAnother() {
        SpoolBudget spoolBudget = new SpoolBudget(new SpoolBudget.Limits(100, 100, 100, 10));
        assertEquals(SpoolBudget.Verdict.GRANTED, spoolBudget.ask("hog", "u", 80));
        assertEquals(SpoolBudget.Verdict.WAIT, spoolBudget.ask("hog", "u", 11));
        assertEquals(SpoolBudget.Verdict.GRANTED, spoolBudget.ask("hog", "u", 10));
        assertEquals(SpoolBudget.Verdict.GRANTED, spoolBudget.ask("other", "v", 10), "the reserve");
        assertEquals(SpoolBudget.Verdict.WAIT, spoolBudget.ask("other", "v", 1));
        spoolBudget.release("hog", 50);
        assertEquals(SpoolBudget.Verdict.GRANTED, spoolBudget.ask("other", "v", 40));
    }

    @Test
    void aKeyHoldsItsStatementUntilItsTimeIsOver() {
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        assertEquals(Verdict.NEW, table.claim("u", "k", "d1", "s1", 0).verdict());
        assertEquals("s1", table.claim("u", "k", "d1", "s2", 1).entry().statement());
        assertEquals(Verdict.SAME, table.claim("u", "k", "d1", "s2", 1).verdict());
        assertEquals(Verdict.OTHER, table.claim("u", "k", "d2", "s2", 1).verdict());
        assertEquals(
                Verdict.NEW,
                table.claim("v", "k", "d2", "s3", 2).verdict(),
                "keys are each user's own");
        assertEquals(Verdict.FULL, table.claim("u", "l", "d", "s4", 3).verdict());
        table.put(table.ofStatement("s1").answered(StatementOutcome.SERVED));
        assertEquals(
                Verdict.FULL,
                table.claim("u", "l", "d", "s4", 999).verdict(),
                "no key goes before its time");
        assertEquals(Verdict.NEW, table.claim("u", "l", "d", "s4", 1_000).verdict());
        assertEquals(
                Verdict.SAME,
                table.claim("v", "k", "d2", "s5", 9_000).verdict(),
                "one under way is never let go");
        assertEquals(List.of(), table.expire(500));
    }

    @Test
    void afterARestartWhatWasUnderWayHasAnUnknownFate() {
        Entry open = new Entry("u", "k", "d", "s", Fate.OPEN, null, 5);
        assertEquals(Fate.UNKNOWN, open.afterRestart().fate());
        assertEquals(Fate.ANSWERED, open.answered(StatementOutcome.SERVED).afterRestart().fate());
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        table.put(open.afterRestart());
        assertEquals(Verdict.SAME, table.claim("u", "k", "d", "s9", 6).verdict());
        table.release("u", "k");
        assertEquals(
                Verdict.NEW,
                table.claim("u", "k", "d", "s9", 6).verdict(),
                "what was refused may come again");
    }
}
