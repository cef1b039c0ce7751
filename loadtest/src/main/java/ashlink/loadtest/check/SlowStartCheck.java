package ashlink.loadtest.check;

import ashlink.config.EngineConfig;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import ashlink.loadtest.scenario.ScenarioFacts.Interval;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "slow start". The work that all routers together send to a warming engine in
 * any window stays below a multiple of the engine's capacity at that time. Counts the queries that
 * warming engines received.
 */
final class SlowStartCheck extends InvariantCheck {

    SlowStartCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations =
                new ArrayList<>(
                        facts.overloadedEngines().stream()
                                .map(engine -> engine + " crashed by overload during slow start")
                                .toList());
        int exercisedCases = 0;
        for (Interval outage : facts.engineOutages()) {
            List<EngineQuery> sent = queriesDuringSlowStart(outage);
            exercisedCases += sent.size();
            for (EngineQuery last : sent) {
                checkWindow(outage, sent, last, violations);
            }
        }
        return new Verdict("4 slow start", exercisedCases, violations);
    }

    private List<EngineQuery> queriesDuringSlowStart(Interval outage) {
        long endNs = outage.endNs() + facts.settings().policyLimits().slowStartNs();
        return facts.engineQueries().stream()
                .filter(
                        engineQuery ->
                                engineQuery.engine().equals(outage.name())
                                        && engineQuery.receivedNs() >= outage.endNs()
                                        && engineQuery.receivedNs() < endNs)
                .sorted(Comparator.comparingLong(engineQuery -> engineQuery.receivedNs()))
                .toList();
    }

    private void checkWindow(
            Interval outage, List<EngineQuery> sent, EngineQuery last, List<String> violations) {
        var limits = facts.settings().policyLimits();
        double windowMs = limits.slowStartWindowNs() / (double) NS_PER_MS;
        double workMs =
                sent.stream()
                        .filter(
                                engineQuery ->
                                        engineQuery.receivedNs() <= last.receivedNs()
                                                && engineQuery.receivedNs()
                                                        > last.receivedNs()
                                                                - limits.slowStartWindowNs())
                        .mapToDouble(engineQuery -> engineQuery.workMs())
                        .sum();
        double capacityCores = capacityCores(outage, last.receivedNs());
        if (workMs > limits.slowStartOverloadFactor() * capacityCores * windowMs) {
            violations.add(
                    last.tag()
                            + ": "
                            + Math.round(workMs)
                            + " ms of work sent in one window to "
                            + outage.name()
                            + ", whose capacity was "
                            + Math.round(capacityCores * windowMs)
                            + " ms");
        }
    }

    private double capacityCores(Interval outage, long timeNs) {
        EngineConfig engineConfig = facts.scenario().engines().get(outage.name());
        double warmFraction =
                Math.min(1, (timeNs - outage.endNs()) / (double) engineConfig.slowStartNs());
        return engineConfig.cores()
                * engineConfig.speed()
                * (engineConfig.slowStartFraction()
                        + (1 - engineConfig.slowStartFraction()) * warmFraction);
    }
}
