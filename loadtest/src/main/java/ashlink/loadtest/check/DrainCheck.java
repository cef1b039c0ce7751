package ashlink.loadtest.check;

import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Drain;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "drain". Counts the drains of engines that the router used shortly before.
 */
final class DrainCheck extends InvariantCheck {

    /** Time before a drain in which a query makes the engine count as used by the router. */
    private static final long ENGINE_USE_WINDOW_NS = 2_000 * NS_PER_MS;

    DrainCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        long graceNs = facts.settings().policyLimits().drainGraceNs();
        for (Drain drain : facts.drains()) {
            boolean usedBefore = false;
            for (EngineQuery engineQuery : facts.engineQueries()) {
                if (engineQuery.engine().equals(drain.engine())
                        && engineQuery.router().equals(drain.router())) {
                    usedBefore |=
                            engineQuery.receivedNs() > drain.announcedNs() - ENGINE_USE_WINDOW_NS
                                    && engineQuery.receivedNs() < drain.announcedNs();
                    if (engineQuery.receivedNs() > drain.announcedNs() + graceNs
                            && engineQuery.receivedNs() < drain.endNs()) {
                        violations.add(
                                engineQuery.tag()
                                        + " started on "
                                        + engineQuery.engine()
                                        + " "
                                        + (engineQuery.receivedNs() - drain.announcedNs())
                                                / NS_PER_MS
                                        + " ms after "
                                        + drain.router()
                                        + " was notified of the drain");
                    }
                }
            }
            exercisedCases += usedBefore ? 1 : 0;
        }
        return new Verdict("3 drain", exercisedCases, violations);
    }
}
