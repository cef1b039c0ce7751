package ashlink.loadtest.check;

import ashlink.decisions.api.RetrySafety;
import ashlink.emulator.Ledger.Outcome;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "no duplicate effects". Counts the attempts of statements that are not safe
 * to repeat and that ended without an answer, and the further attempts of all queries.
 */
final class DuplicateEffectsCheck extends InvariantCheck {

    DuplicateEffectsCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        Map<Long, Integer> executionsByRequest = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            List<EngineQuery> engineQueries = engineQueries(clientAttempt);
            if (queryClass(clientAttempt).retrySafety() == RetrySafety.AT_MOST_ONCE) {
                exercisedCases += endedWithoutAnswer(clientAttempt, engineQueries) ? 1 : 0;
                checkExecutions(clientAttempt, engineQueries, executionsByRequest, violations);
            }
            exercisedCases += Math.max(0, engineQueries.size() - 1);
            checkOverlap(clientAttempt, engineQueries, violations);
        }
        return new Verdict("2 no duplicate effects", exercisedCases, violations);
    }

    private static boolean endedWithoutAnswer(
            ClientAttempt clientAttempt, List<EngineQuery> engineQueries) {
        return engineQueries.stream()
                        .anyMatch(engineQuery -> engineQuery.outcome() != Outcome.ANSWERED)
                || clientAttempt.reply().kind() != Reply.Kind.SERVED;
    }

    private static void checkExecutions(
            ClientAttempt clientAttempt,
            List<EngineQuery> engineQueries,
            Map<Long, Integer> executionsByRequest,
            List<String> violations) {
        long executions =
                engineQueries.stream()
                        .filter(
                                engineQuery ->
                                        engineQuery.executableNs() > 0
                                                && engineQuery.outcome() != Outcome.TURNED_AWAY)
                        .count();
        if (executionsByRequest.merge(clientAttempt.request(), (int) executions, Integer::sum)
                > 1) {
            violations.add(
                    clientAttempt.tag()
                            + " "
                            + clientAttempt.queryClass()
                            + " was executed "
                            + executionsByRequest.get(clientAttempt.request())
                            + " times");
        }
        if (clientAttempt.isRejected() && executions > 0) {
            violations.add(
                    clientAttempt.tag() + " was rejected as safe to retry but had been executed");
        }
    }

    private static void checkOverlap(
            ClientAttempt clientAttempt, List<EngineQuery> engineQueries, List<String> violations) {
        for (int i = 1; i < engineQueries.size(); i++) {
            if (engineQueries.get(i).receivedNs() + CLOCK_TOLERANCE_NS
                    < engineQueries.get(i - 1).finishedNs()) {
                violations.add(
                        clientAttempt.tag()
                                + " had an attempt on "
                                + engineQueries.get(i).engine()
                                + " while another attempt was open on "
                                + engineQueries.get(i - 1).engine());
            }
        }
    }
}
