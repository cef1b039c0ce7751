package ashlink.loadtest.check;

import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the seven invariants of the workload manager against what clients and engines recorded in
 * a scenario.
 */
public final class InvariantChecker {

    private final ScenarioFacts facts;
    private final Map<String, List<EngineQuery>> engineQueriesByTag = new HashMap<>();

    /** Creates a checker for the records of a scenario. */
    public InvariantChecker(ScenarioFacts facts) {
        this.facts = facts;
        for (EngineQuery engineQuery : facts.engineQueries()) {
            engineQueriesByTag
                    .computeIfAbsent(engineQuery.tag(), key -> new ArrayList<>())
                    .add(engineQuery);
        }
        engineQueriesByTag
                .values()
                .forEach(
                        queries ->
                                queries.sort(
                                        Comparator.comparingLong(
                                                engineQuery -> engineQuery.receivedNs())));
    }

    /** Returns a verdict for each invariant, numbered from 1 to 7. */
    public List<Verdict> verdicts() {
        return List.of(
                new FinalAnswerCheck(facts, engineQueriesByTag).check(),
                new DuplicateEffectsCheck(facts, engineQueriesByTag).check(),
                new DrainCheck(facts, engineQueriesByTag).check(),
                new SlowStartCheck(facts, engineQueriesByTag).check(),
                new KeyOrderingCheck(facts, engineQueriesByTag).check(),
                new PlacementCheck(facts, engineQueriesByTag).check(),
                new RetryBudgetCheck(facts, engineQueriesByTag).check());
    }
}
