package ashlink.loadtest.check;

import ashlink.loadtest.client.Reply;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "single final answer". Counts the cases that were not served by a single
 * attempt. Attempts at a router that crashed meanwhile are exempt.
 */
final class FinalAnswerCheck extends InvariantCheck {

    FinalAnswerCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            if (!clientAttempt.sent() || routerCrashed(clientAttempt)) {
                continue;
            }
            boolean servedBySingleAttempt =
                    clientAttempt.reply().kind() == Reply.Kind.SERVED
                            && engineQueries(clientAttempt).size() == 1;
            exercisedCases += servedBySingleAttempt ? 0 : 1;
            if (!clientAttempt.reply().isFinal()) {
                violations.add(
                        clientAttempt.tag()
                                + " "
                                + clientAttempt.queryClass()
                                + " on "
                                + clientAttempt.router()
                                + ": "
                                + clientAttempt.reply().kind()
                                + " "
                                + clientAttempt.reply().message()
                                + " after "
                                + (clientAttempt.reply().endNs() - clientAttempt.sentNs())
                                        / NS_PER_MS
                                + " of "
                                + (clientAttempt.deadlineNs() - clientAttempt.sentNs()) / NS_PER_MS
                                + " ms");
            } else if (clientAttempt.hasDataAfterReply()) {
                violations.add(clientAttempt.tag() + ": data received after the final answer");
            }
        }
        return new Verdict("1 single final answer", exercisedCases, violations);
    }
}
