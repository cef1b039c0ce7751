package ashlink.loadtest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.client.Reply.Kind;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Statements are classified by their parsed content, so the notation of a statement does not change
 * its class.
 */
class QueryClassificationTest {

    private static final String REPORT_RULE =
            "(rule (class bericht) (kind read) (table \"billing.*\"))";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SELECT sum(x) /*T*/ FROM billing.periods",
                "sElEcT sum(x) /*T*/ fRoM `billing` . \"periods\"",
                "WITH p AS (SELECT * FROM billing.periods) SELECT /*T*/ * FROM p",
                "-- look-up\nSELECT 1 /*T*/, (SELECT max(x) FROM billing.periods)",
                "(SELECT 1 /*T*/) UNION ALL (SELECT x FROM readings JOIN billing.periods USING id)",
                "SELECT /*T*/ * FROM readings WHERE id IN billing.periods"
            })
    void reportInAnyNotationRunsOnlyOnItsEngineKind(String statement) throws Exception {
        try (TestFleet fleet = TestFleet.of("a1:typ-a", "b1:typ-b").with(REPORT_RULE).start()) {
            for (int i = 0; i < 4; i++) {
                Reply replyBeforeCrash =
                        fleet.query(
                                "portal", statement.replace("/*T*/", "/* sim tag=up" + i + " */"));
                assertEquals(Kind.SERVED, replyBeforeCrash.kind(), replyBeforeCrash.message());
            }
            fleet.engine("a1").crash();
            Reply replyAfterCrash =
                    fleet.client("portal")
                            .query(
                                    "",
                                    statement.replace("/*T*/", "/* sim tag=down */"),
                                    Map.of("max_execution_time", "1"),
                                    3 * TestFleet.NS_PER_SECOND);
            assertEquals(202, replyAfterCrash.code(), replyAfterCrash.message());
            assertEquals(List.of(), fleet.engine("b1").ledger().entries());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "SELECT 1; SELECT /*T*/ 2",
                "SELECT @@x /*T*/",
                "MERGE INTO t /*T*/ USING s",
                "/* FROM */ OPTIMIZE TABLE /*T*/ t",
                "SELECT 1 /*T*/ INTO OUTFILE 'x'",
                "SELECT * FROM executable('x.sh', CSV, 'a Int8') /*T*/",
                "SELECT /*T*/ 1 /* a /* b */ c */"
            })
    void statementThatIsNoPlainReadIsExecutedOnceWithThePlacementOfItsUsersClass(String statement)
            throws Exception {
        try (TestFleet fleet = TestFleet.of("a1:typ-a", "a2:typ-a", "b1:typ-b").start()) {
            fleet.breakAllAt(Place.RUN, Break.CLOSE, 100);
            Reply reply = fleet.query("billing", statement.replace("/*T*/", "/* sim tag=t */"));
            assertEquals(210, reply.code(), reply.message());
            assertEquals(1, fleet.executions("t"));
            assertEquals(List.of(), fleet.engine("b1").ledger().entries());
        }
    }

    @Test
    void readsAndWritesOfATableHaveTheSameTableGroup() throws Exception {
        java.util.Set<Long> tableGroups = java.util.concurrent.ConcurrentHashMap.newKeySet();
        try (TestFleet fleet = TestFleet.of("q1:typ-a").start()) {
            fleet.router
                    .core()
                    .observe(
                            (event, now, actions) -> {
                                if (event
                                        instanceof
                                        ashlink.decisions.api.Event.QuerySubmitted querySubmitted) {
                                    tableGroups.add(querySubmitted.tableGroup());
                                }
                            });
            for (String text :
                    List.of(
                            "SELECT * FROM default.readings",
                            "INSERT INTO readings SELECT 1",
                            "select x from `readings`")) {
                assertEquals(Kind.SERVED, fleet.query("portal", text).kind());
            }
            assertEquals(1, tableGroups.size(), tableGroups.toString());
            assertTrue(!tableGroups.contains(0L));
        }
    }
}
