package ashlink.decisions;

import static ashlink.decisions.RouterHarness.HALF_BUSY;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests when health checks are sent, and their use of credits. */
class HealthCheckSchedulerTest {

    private final ActionBuffer actions = new ActionBuffer();
    private final QueryClassStatistics reports =
            new QueryClassStatistics(RouterHarness.reportClass(Set.of(), Set.of()));
    private final QueryClassStatistics lookups =
            new QueryClassStatistics(RouterHarness.shortClass("lookup"));
    private final HealthCheckScheduler scheduler = scheduler(true);
    private final EngineState first = TestStates.engine("a");
    private final EngineState second = TestStates.engine("b");

    private HealthCheckScheduler scheduler(boolean enabled) {
        return new HealthCheckScheduler(
                enabled, new ShortQueryClassifier(List.of(reports, lookups)), actions);
    }

    private QueryState longQuery() {
        return TestStates.query(1, reports, null, 10_000, 1);
    }

    private QueryState shortQuery() {
        return TestStates.query(2, lookups, null, 10, 1);
    }

    /** Spends credits on background checks of new engines. */
    private void spendCredits(int checks) {
        for (int i = 0; i < checks; i++) {
            scheduler.checkInBackground(TestStates.engine("e" + i), NOW_NS);
        }
    }

    private int sent() {
        return RouterHarness.ofType(CheckHealth.class, actions.actions()).size();
    }

    @Test
    void bothStaleCandidatesAreChecked() {
        QueryState query = longQuery();
        assertTrue(scheduler.checkCandidates(query, first, second, NOW_NS));
        assertEquals(
                List.of(
                        new CheckHealth("a"),
                        new CheckHealth("b"),
                        new SetTimer(HealthCheckScheduler.TIMER_LABEL, NOW_NS + 20 * MS)),
                actions.actions());
        assertEquals(List.of(first, second), query.checkedCandidates);
    }

    @Test
    void candidateWithARecentReportIsNotChecked() {
        first.recordReport(HALF_BUSY, NOW_NS);
        assertTrue(scheduler.checkCandidates(longQuery(), first, second, NOW_NS));
        assertEquals(1, sent());
    }

    @Test
    void recentReportsNeedNoCheck() {
        first.recordReport(HALF_BUSY, NOW_NS);
        second.recordReport(HALF_BUSY, NOW_NS);
        assertFalse(scheduler.checkCandidates(longQuery(), first, second, NOW_NS));
        assertEquals(0, sent());
    }

    @Test
    void selectionDoesNotWaitIfHealthChecksAreDisabled() {
        assertFalse(scheduler(false).checkCandidates(longQuery(), first, second, NOW_NS));
    }

    @Test
    void queryWaitsForResultsUntilItsCheckDeadline() {
        QueryState query = longQuery();
        scheduler.checkCandidates(query, first, second, NOW_NS);
        assertTrue(scheduler.isWaiting(query, NOW_NS + 20 * MS - 1));
        assertFalse(scheduler.isWaiting(query, NOW_NS + 20 * MS));
    }

    @Test
    void queryWaitsForBothResults() {
        QueryState query = longQuery();
        scheduler.checkCandidates(query, first, second, NOW_NS);
        scheduler.recordResult(first, Outcome.SERVED, HALF_BUSY, NOW_NS);
        assertTrue(scheduler.isWaiting(query, NOW_NS));
        scheduler.recordResult(second, Outcome.TIMED_OUT, LoadReport.NONE, NOW_NS);
        assertFalse(scheduler.isWaiting(query, NOW_NS));
    }

    @Test
    void onlyAServedCheckDeliversAReport() {
        scheduler.recordResult(first, Outcome.SERVED, HALF_BUSY, NOW_NS);
        scheduler.recordResult(second, Outcome.ERROR, HALF_BUSY, NOW_NS);
        assertEquals(HALF_BUSY, first.report);
        assertEquals(LoadReport.NONE, second.report);
    }

    @Test
    void backgroundChecksLeaveHalfOfTheCredits() {
        spendCredits(100);
        assertEquals(11, sent());
    }

    @Test
    void shortQueryDoesNotUseReservedCredits() {
        spendCredits(100);
        assertFalse(scheduler.checkCandidates(shortQuery(), first, second, NOW_NS));
        assertTrue(scheduler.checkCandidates(longQuery(), first, second, NOW_NS));
        assertEquals(13, sent());
    }

    @Test
    void longQueryWithoutCreditsWaitsWithoutChecks() {
        spendCredits(100);
        for (int i = 0; i < 4; i++) {
            first.healthCheckPending = false;
            second.healthCheckPending = false;
            scheduler.checkCandidates(longQuery(), first, second, NOW_NS);
        }
        first.healthCheckPending = false;
        second.healthCheckPending = false;
        QueryState query = longQuery();
        assertTrue(scheduler.checkCandidates(query, first, second, NOW_NS));
        assertTrue(query.checkedCandidates.isEmpty());
    }

    @Test
    void submittedQueriesEarnCredits() {
        spendCredits(100);
        int before = sent();
        scheduler.creditQuery();
        scheduler.creditQuery();
        spendCredits(100);
        assertEquals(before + 2, sent());
    }

    @Test
    void engineIsCheckedInTheBackgroundAtIntervals() {
        scheduler.checkInBackground(first, NOW_NS);
        first.healthCheckPending = false;
        scheduler.checkInBackground(first, NOW_NS + 500 * MS - 1);
        assertEquals(1, sent());
        scheduler.checkInBackground(first, NOW_NS + 500 * MS);
        assertEquals(2, sent());
    }
}
