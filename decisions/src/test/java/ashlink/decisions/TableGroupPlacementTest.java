package ashlink.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Tests on which engines queries lock a table group and on which they wait for the locks. */
class TableGroupPlacementTest {

    private static final QueryClass LOAD =
            RouterHarness.loadClass(RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, false);
    private static final QueryClass REPORT = RouterHarness.reportClass(Set.of(), Set.of());
    private static final QueryClass LOOKUP = RouterHarness.shortClass("lookup");

    private final EngineDirectory engines = new EngineDirectory(List.of());

    TableGroupPlacementTest() {
        engines.apply(
                new EndpointsChanged(
                        EndpointListKind.SNAPSHOT,
                        Stream.of("a", "b", "c", "d").map(RouterHarness::readyEndpoint).toList()),
                engine -> {});
    }

    private List<EngineState> filtered(List<QueryClass> classes, QueryClass queryClass) {
        List<EngineState> candidates = new ArrayList<>(engines.all());
        new TableGroupPlacement(engines, classes)
                .filter(TestStates.query(1, queryClass), candidates);
        return candidates;
    }

    @Test
    void lockingAndWaitingQueriesUseSeparateHalves() {
        List<QueryClass> classes = List.of(LOAD, REPORT);
        List<EngineState> lockingEngines = filtered(classes, LOAD);
        List<EngineState> waitingEngines = filtered(classes, REPORT);
        assertEquals(2, lockingEngines.size());
        assertEquals(2, waitingEngines.size());
        lockingEngines.retainAll(waitingEngines);
        assertTrue(lockingEngines.isEmpty());
    }

    /** Guards against a list of engines for each of the groups that clients name. */
    @Test
    void groupsWithoutAnEndTakeBoundedMemoryAndKeepTheirEngines() {
        TableGroupPlacement placement = new TableGroupPlacement(engines, List.of(LOAD, REPORT));
        List<List<EngineState>> first = new ArrayList<>();
        for (int round = 0; round < 2; round++) {
            for (int group = 0; group < TableGroupPlacement.MAX_CACHED_ENGINES; group++) {
                List<EngineState> candidates = new ArrayList<>(engines.all());
                placement.filter(queryOfGroup(group), candidates);
                assertTrue(placement.cachedEngines() <= TableGroupPlacement.MAX_CACHED_ENGINES);
                if (round == 0) {
                    first.add(candidates);
                } else {
                    assertEquals(first.get(group), candidates);
                }
            }
        }
    }

    private static QueryState queryOfGroup(long tableGroup) {
        return TestStates.queryOfGroup(LOAD, tableGroup);
    }

    @Test
    void otherClassesRunAnywhere() {
        assertEquals(4, filtered(List.of(LOAD, REPORT, LOOKUP), LOOKUP).size());
    }

    @Test
    void lockingQueriesRunAnywhereWithoutWaitingClasses() {
        assertEquals(4, filtered(List.of(LOAD, LOOKUP), LOAD).size());
    }

    @Test
    void candidatesOfTheOtherHalfAreUsedIfThereAreNoOthers() {
        List<QueryClass> classes = List.of(LOAD, REPORT);
        List<EngineState> waitingEngines = filtered(classes, REPORT);
        new TableGroupPlacement(engines, classes).filter(TestStates.query(1, LOAD), waitingEngines);
        assertEquals(2, waitingEngines.size());
    }
}
