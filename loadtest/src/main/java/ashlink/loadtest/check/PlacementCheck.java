package ashlink.loadtest.check;

import ashlink.decisions.api.QueryClass;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "placement". Counts the attempts of classes with a placement restriction
 * that started while an allowed engine had a fault or any engine was down.
 */
final class PlacementCheck extends InvariantCheck {

    PlacementCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            QueryClass queryClass = queryClass(clientAttempt);
            if (queryClass.engineKinds().isEmpty() && queryClass.zones().isEmpty()) {
                continue;
            }
            for (EngineQuery engineQuery : engineQueries(clientAttempt)) {
                exercisedCases += isUnderFault(queryClass, engineQuery.receivedNs()) ? 1 : 0;
                if (!queryClass.engineKinds().isEmpty()
                                && !queryClass.engineKinds().contains(engineQuery.kind())
                        || !queryClass.zones().isEmpty()
                                && !queryClass.zones().contains(engineQuery.zone())) {
                    violations.add(
                            clientAttempt.tag()
                                    + " "
                                    + clientAttempt.queryClass()
                                    + " was sent to "
                                    + engineQuery.engine()
                                    + " of kind "
                                    + engineQuery.kind());
                }
            }
        }
        return new Verdict("6 placement", exercisedCases, violations);
    }

    private boolean isUnderFault(QueryClass queryClass, long timeNs) {
        return facts.engineFaults().stream()
                        .anyMatch(
                                interval ->
                                        interval.overlaps(timeNs, timeNs)
                                                && queryClass
                                                        .engineKinds()
                                                        .contains(kind(interval.name())))
                || facts.engineOutages().stream()
                        .anyMatch(interval -> interval.overlaps(timeNs, timeNs));
    }

    private String kind(String engine) {
        return facts.scenario().engines().get(engine).kind();
    }
}
