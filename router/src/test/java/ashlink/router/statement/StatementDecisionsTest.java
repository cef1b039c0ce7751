package ashlink.router.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.router.core.StatementOutcome;
import ashlink.router.statement.IdempotencyKeyTable.ClaimResult;
import ashlink.router.statement.IdempotencyKeyTable.Entry;
import ashlink.router.statement.IdempotencyKeyTable.Status;
import ashlink.router.statement.PageWindow.PageState;
import ashlink.router.statement.StatementLifecycle.PendingAction;
import ashlink.router.statement.StatementLifecycle.State;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class StatementDecisionsTest {

    private static final StatementLifecycle.Timeouts TERMS =
            new StatementLifecycle.Timeouts(30, 60, 10, 300);

    @Test
    void aStatementThatNobodyAsksForIsCalledOffAndOneThatIsAskedForIsNot() {
        StatementLifecycle statementLifecycle = new StatementLifecycle(TERMS, 0);
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(29));
        assertEquals(PendingAction.CANCEL, statementLifecycle.pendingAction(30));
        statementLifecycle.pollStarted(30);
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(1_000), "an asker waits");
        statementLifecycle.pollEnded(false, 1_000);
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(1_029));
        assertEquals(PendingAction.CANCEL, statementLifecycle.pendingAction(1_030));
    }

    @Test
    void anAnswerIsKeptForItsTimeAndShorterOnceItsEndWasFetched() {
        StatementLifecycle statementLifecycle = new StatementLifecycle(TERMS, 0);
        assertTrue(statementLifecycle.complete(100));
        assertFalse(statementLifecycle.complete(101), "once only");
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(159));
        assertEquals(PendingAction.DISCARD, statementLifecycle.pendingAction(160));
        statementLifecycle.pollStarted(160);
        statementLifecycle.pollEnded(true, 165);
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(174));
        assertEquals(PendingAction.DISCARD, statementLifecycle.pendingAction(175));
        statementLifecycle.discard(175);
        assertEquals(State.DISCARDED, statementLifecycle.state());
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(474));
        assertEquals(PendingAction.REMOVE, statementLifecycle.pendingAction(475));
        statementLifecycle.remove();
        assertEquals(PendingAction.NONE, statementLifecycle.pendingAction(10_000));
        assertEquals(
                PendingAction.NONE,
                statementLifecycle.pendingAction(0),
                "a clock that goes back brings nothing back");
    }

    @Test
    void aPageCanBeAskedForAgainUntilTheOneAfterTheNextIsAskedFor() {
        PageWindow pageWindow = new PageWindow();
        assertEquals(PageState.PENDING, pageWindow.request(0));
        assertEquals(PageState.INVALID, pageWindow.request(1), "pages are asked for in order");
        for (int i = 0; i < 4; i++) {
            assertEquals(i, pageWindow.closePage());
        }
        assertEquals(PageState.AVAILABLE, pageWindow.request(0));
        assertEquals(PageState.AVAILABLE, pageWindow.request(1));
        assertEquals(PageState.AVAILABLE, pageWindow.request(0));
        assertEquals(PageState.AVAILABLE, pageWindow.request(2));
        assertEquals(PageState.RELEASED, pageWindow.request(0));
        assertEquals(PageState.AVAILABLE, pageWindow.request(1));
        assertEquals(PageState.AVAILABLE, pageWindow.request(3));
        assertEquals(PageState.PENDING, pageWindow.request(4));
        assertFalse(pageWindow.isLast(3));
        pageWindow.end();
        assertTrue(pageWindow.isLast(3) && pageWindow.isLastPageRequested());
        assertEquals(PageState.INVALID, pageWindow.request(4));
        pageWindow.releaseAll();
        assertEquals(PageState.RELEASED, pageWindow.request(3));
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
                SpoolBudget.Reservation verdict = spoolBudget.reserve(text, user, bytes);
                assertEquals(bytes > 40, verdict == SpoolBudget.Reservation.TOO_LARGE);
                if (verdict == SpoolBudget.Reservation.GRANTED) {
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
            assertEquals(held.values().stream().mapToLong(x -> x).sum(), spoolBudget.usedBytes());
            assertTrue(spoolBudget.usedBytes() <= 100);
            assertEquals(byUser.getOrDefault("u1", 0L), spoolBudget.usedBytesOf("u1"));
        }
        held.forEach((text, bytes) -> spoolBudget.release(text, bytes));
        assertEquals(0, spoolBudget.usedBytes());
        assertEquals(SpoolBudget.Reservation.GRANTED, spoolBudget.reserve("new", "u", 40));
    }

    @Test
    void resultsThatNobodyFetchesLeaveRoomForTheFirstPageOfAnother() {
        SpoolBudget spoolBudget = new SpoolBudget(new SpoolBudget.Limits(100, 100, 100, 10));
        assertEquals(SpoolBudget.Reservation.GRANTED, spoolBudget.reserve("hog", "u", 80));
        assertEquals(SpoolBudget.Reservation.WAIT, spoolBudget.reserve("hog", "u", 11));
        assertEquals(SpoolBudget.Reservation.GRANTED, spoolBudget.reserve("hog", "u", 10));
        assertEquals(
                SpoolBudget.Reservation.GRANTED,
                spoolBudget.reserve("other", "v", 10),
                "the reserve");
        assertEquals(SpoolBudget.Reservation.WAIT, spoolBudget.reserve("other", "v", 1));
        spoolBudget.release("hog", 50);
        assertEquals(SpoolBudget.Reservation.GRANTED, spoolBudget.reserve("other", "v", 40));
    }

    @Test
    void aKeyHoldsItsStatementUntilItsTimeIsOver() {
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        assertEquals(ClaimResult.NEW, table.claim("u", "k", "d1", "s1", 0).result());
        assertEquals("s1", table.claim("u", "k", "d1", "s2", 1).entry().statement());
        assertEquals(ClaimResult.DUPLICATE, table.claim("u", "k", "d1", "s2", 1).result());
        assertEquals(ClaimResult.CONFLICT, table.claim("u", "k", "d2", "s2", 1).result());
        assertEquals(
                ClaimResult.NEW,
                table.claim("v", "k", "d2", "s3", 2).result(),
                "keys are each user's own");
        assertEquals(ClaimResult.FULL, table.claim("u", "l", "d", "s4", 3).result());
        table.put(table.findByStatement("s1").completed(StatementOutcome.SERVED));
        assertEquals(
                ClaimResult.FULL,
                table.claim("u", "l", "d", "s4", 999).result(),
                "no key goes before its time");
        assertEquals(ClaimResult.NEW, table.claim("u", "l", "d", "s4", 1_000).result());
        assertEquals(
                ClaimResult.DUPLICATE,
                table.claim("v", "k", "d2", "s5", 9_000).result(),
                "one under way is never let go");
        assertEquals(List.of(), table.expire(500));
    }

    @Test
    void afterARestartWhatWasUnderWayHasAnUnknownFate() {
        Entry open = new Entry("u", "k", "d", "s", Status.RUNNING, null, 5);
        assertEquals(Status.UNKNOWN, open.afterRestart().status());
        assertEquals(
                Status.COMPLETED, open.completed(StatementOutcome.SERVED).afterRestart().status());
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        table.put(open.afterRestart());
        assertEquals(ClaimResult.DUPLICATE, table.claim("u", "k", "d", "s9", 6).result());
        table.release("u", "k");
        assertEquals(
                ClaimResult.NEW,
                table.claim("u", "k", "d", "s9", 6).result(),
                "what was refused may come again");
    }
}
