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

/** Tests statement lifecycle, page window, spool budget and idempotency keys without I/O. */
class StatementDecisionsTest {

    private static final StatementLifecycle.Timeouts TIMEOUTS =
            new StatementLifecycle.Timeouts(30, 60, 10, 300);

    @Test
    void cancelsAStatementThatIsNotPolled() {
        StatementLifecycle lifecycle = new StatementLifecycle(TIMEOUTS, 0);
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(29));
        assertEquals(PendingAction.CANCEL, lifecycle.pendingAction(30));
        lifecycle.pollStarted(30);
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(1_000), "a poll is open");
        lifecycle.pollEnded(false, 1_000);
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(1_029));
        assertEquals(PendingAction.CANCEL, lifecycle.pendingAction(1_030));
    }

    @Test
    void retainsAFetchedResultForAShorterTime() {
        StatementLifecycle lifecycle = new StatementLifecycle(TIMEOUTS, 0);
        assertTrue(lifecycle.complete(100));
        assertFalse(lifecycle.complete(101), "a statement completes only once");
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(159));
        assertEquals(PendingAction.DISCARD, lifecycle.pendingAction(160));
        lifecycle.pollStarted(160);
        lifecycle.pollEnded(true, 165);
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(174));
        assertEquals(PendingAction.DISCARD, lifecycle.pendingAction(175));
        lifecycle.discard(175);
        assertEquals(State.DISCARDED, lifecycle.state());
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(474));
        assertEquals(PendingAction.REMOVE, lifecycle.pendingAction(475));
        lifecycle.remove();
        assertEquals(PendingAction.NONE, lifecycle.pendingAction(10_000));
        assertEquals(
                PendingAction.NONE,
                lifecycle.pendingAction(0),
                "a clock that goes back does not revive a removed statement");
    }

    @Test
    void retainsAPageUntilThePageAfterTheNextIsRequested() {
        PageWindow window = new PageWindow();
        assertEquals(PageState.PENDING, window.request(0));
        assertEquals(PageState.INVALID, window.request(1), "pages must be requested in order");
        for (int i = 0; i < 4; i++) {
            assertEquals(i, window.addPage());
        }
        assertEquals(PageState.AVAILABLE, window.request(0));
        assertEquals(PageState.AVAILABLE, window.request(1));
        assertEquals(PageState.AVAILABLE, window.request(0));
        assertEquals(PageState.AVAILABLE, window.request(2));
        assertEquals(PageState.RELEASED, window.request(0));
        assertEquals(PageState.AVAILABLE, window.request(1));
        assertEquals(PageState.AVAILABLE, window.request(3));
        assertEquals(PageState.PENDING, window.request(4));
        assertFalse(window.isLast(3));
        window.end();
        assertTrue(window.isLast(3) && window.isLastPageRequested());
        assertEquals(PageState.INVALID, window.request(4));
        window.releaseAll();
        assertEquals(PageState.RELEASED, window.request(3));
    }

    @Property(tries = 200, seed = "7")
    void budgetIsNeverExceededAndFullyReleased(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SpoolBudget budget = new SpoolBudget(new SpoolBudget.Limits(40, 70, 100, 12));
        Map<String, Long> bytesByStatement = new HashMap<>();
        Map<String, Long> bytesByUser = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            int number = random.nextInt(12);
            String statement = "s" + number;
            String user = "u" + number % 3;
            if (random.nextInt(3) > 0) {
                long bytes = 1 + random.nextInt(45);
                SpoolBudget.Reservation result = budget.reserve(statement, user, bytes);
                assertEquals(bytes > 40, result == SpoolBudget.Reservation.TOO_LARGE);
                if (result == SpoolBudget.Reservation.GRANTED) {
                    bytesByStatement.merge(statement, bytes, Long::sum);
                    bytesByUser.merge(user, bytes, Long::sum);
                }
            } else if (bytesByStatement.getOrDefault(statement, 0L) > 0) {
                long bytes = 1 + random.nextLong(bytesByStatement.get(statement));
                budget.release(statement, bytes);
                bytesByStatement.merge(statement, -bytes, Long::sum);
                bytesByUser.merge(user, -bytes, Long::sum);
            }
            assertTrue(
                    bytesByStatement.values().stream().allMatch(bytes -> bytes <= 40)
                            && bytesByUser.values().stream().allMatch(bytes -> bytes <= 70));
            assertEquals(
                    bytesByStatement.values().stream().mapToLong(Long::longValue).sum(),
                    budget.usedBytes());
            assertTrue(budget.usedBytes() <= 100);
            assertEquals(bytesByUser.getOrDefault("u1", 0L), budget.usedBytesOf("u1"));
        }
        bytesByStatement.forEach((statement, bytes) -> budget.release(statement, bytes));
        assertEquals(0, budget.usedBytes());
        assertEquals(SpoolBudget.Reservation.GRANTED, budget.reserve("new", "u", 40));
    }

    @Test
    void reservesSpaceForFirstPages() {
        SpoolBudget budget = new SpoolBudget(new SpoolBudget.Limits(100, 100, 100, 10));
        assertEquals(SpoolBudget.Reservation.GRANTED, budget.reserve("first", "u", 80));
        assertEquals(SpoolBudget.Reservation.WAIT, budget.reserve("first", "u", 11));
        assertEquals(SpoolBudget.Reservation.GRANTED, budget.reserve("first", "u", 10));
        assertEquals(
                SpoolBudget.Reservation.GRANTED,
                budget.reserve("other", "v", 10),
                "the reserve is for statements without stored pages");
        assertEquals(SpoolBudget.Reservation.WAIT, budget.reserve("other", "v", 1));
        budget.release("first", 50);
        assertEquals(SpoolBudget.Reservation.GRANTED, budget.reserve("other", "v", 40));
    }

    @Test
    void retainsAKeyUntilItExpires() {
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        assertEquals(ClaimResult.NEW, table.claim("u", "k", "d1", "s1", 0).result());
        assertEquals("s1", table.claim("u", "k", "d1", "s2", 1).entry().statement());
        assertEquals(ClaimResult.DUPLICATE, table.claim("u", "k", "d1", "s2", 1).result());
        assertEquals(ClaimResult.CONFLICT, table.claim("u", "k", "d2", "s2", 1).result());
        assertEquals(
                ClaimResult.NEW,
                table.claim("v", "k", "d2", "s3", 2).result(),
                "each user has separate keys");
        assertEquals(ClaimResult.FULL, table.claim("u", "l", "d", "s4", 3).result());
        table.put(table.findByStatement("s1").completed(StatementOutcome.SERVED));
        assertEquals(
                ClaimResult.FULL,
                table.claim("u", "l", "d", "s4", 999).result(),
                "no key is released before it expires");
        assertEquals(ClaimResult.NEW, table.claim("u", "l", "d", "s4", 1_000).result());
        assertEquals(
                ClaimResult.DUPLICATE,
                table.claim("v", "k", "d2", "s5", 9_000).result(),
                "the key of a running statement never expires");
        assertEquals(List.of(), table.expire(500));
    }

    @Test
    void runningStatementsHaveAnUnknownOutcomeAfterARestart() {
        Entry running = new Entry("u", "k", "d", "s", Status.RUNNING, null, 5);
        assertEquals(Status.UNKNOWN, running.afterRestart().status());
        assertEquals(
                Status.COMPLETED,
                running.completed(StatementOutcome.SERVED).afterRestart().status());
        IdempotencyKeyTable table = new IdempotencyKeyTable(2, 1_000);
        table.put(running.afterRestart());
        assertEquals(ClaimResult.DUPLICATE, table.claim("u", "k", "d", "s9", 6).result());
        table.release("u", "k");
        assertEquals(
                ClaimResult.NEW,
                table.claim("u", "k", "d", "s9", 6).result(),
                "a released key can be claimed again");
    }
}
