package ashlink.loadtest.check;

import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "retry budget". The retries of a router stay within its budget in any
 * window, and the attempts of a query within their maximum. Counts the retries.
 */
final class RetryBudgetCheck extends InvariantCheck {

    RetryBudgetCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        Map<String, List<Long>> retriesByRouter = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            List<EngineQuery> engineQueries = engineQueries(clientAttempt);
            if (engineQueries.size() > facts.settings().capabilities().maxAttempts()) {
                violations.add(clientAttempt.tag() + " had " + engineQueries.size() + " attempts");
            }
            for (EngineQuery engineQuery :
                    engineQueries.subList(
                            Math.min(1, engineQueries.size()), engineQueries.size())) {
                exercisedCases++;
                retriesByRouter
                        .computeIfAbsent(engineQuery.router(), key -> new ArrayList<>())
                        .add(engineQuery.receivedNs());
            }
        }
        if (facts.settings().policyLimits().retryBudgetWindowNs() > 0) {
            retriesByRouter.forEach(
                    (router, retryTimesNs) -> checkBudget(router, retryTimesNs, violations));
        }
        return new Verdict("7 retry budget", exercisedCases, violations);
    }

    private void checkBudget(String router, List<Long> retryTimesNs, List<String> violations) {
        var limits = facts.settings().policyLimits();
        List<Long> requestTimesNs =
                facts.clientAttempts().stream()
                        .filter(
                                clientAttempt ->
                                        clientAttempt.router().equals(router)
                                                && clientAttempt.sent())
                        .map(ClientAttempt::sentNs)
                        .toList();
        for (long lastNs : retryTimesNs) {
            long fromNs = lastNs - limits.retryBudgetWindowNs();
            long retries =
                    retryTimesNs.stream()
                            .filter(timeNs -> timeNs > fromNs && timeNs <= lastNs)
                            .count();
            long requests =
                    requestTimesNs.stream()
                            .filter(
                                    timeNs ->
                                            timeNs > fromNs - CLOCK_TOLERANCE_NS
                                                    && timeNs <= lastNs)
                            .count();
            if (retries > limits.freeRetries() + limits.retriesPerQuery() * requests) {
                violations.add(
                        router
                                + " made "
                                + retries
                                + " retries in a window with "
                                + requests
                                + " requests");
            }
        }
    }
}
