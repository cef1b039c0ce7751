package ashlink.loadtest.check;

import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks the invariant "key ordering". Counts the pairs of queries with the same key that were open
 * at the same time.
 */
final class KeyOrderingCheck extends InvariantCheck {

    /** Time between two sends of a client after which the router receives them in that order. */
    private static final long CERTAIN_ORDER_NS = 100 * NS_PER_MS;

    KeyOrderingCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        super(facts, engineQueriesByTag);
    }

    @Override
    Verdict check() {
        List<String> violations = new ArrayList<>();
        int exercisedCases = 0;
        Map<String, List<ClientAttempt>> attemptsByKey = new HashMap<>();
        for (ClientAttempt clientAttempt : facts.clientAttempts()) {
            if (clientAttempt.key() != null
                    && queryClass(clientAttempt).ordered()
                    && clientAttempt.sent()) {
                attemptsByKey
                        .computeIfAbsent(
                                clientAttempt.router() + " " + clientAttempt.key(),
                                key -> new ArrayList<>())
                        .add(clientAttempt);
            }
        }
        for (List<ClientAttempt> attempts : attemptsByKey.values()) {
            attempts.sort(Comparator.comparingLong(ClientAttempt::sentNs));
            for (int i = 0; i < attempts.size(); i++) {
                for (int j = i + 1;
                        j < attempts.size()
                                && attempts.get(j).sentNs() < attempts.get(i).reply().endNs();
                        j++) {
                    if (!routerCrashed(attempts.get(i)) && !routerCrashed(attempts.get(j))) {
                        exercisedCases++;
                        checkOrder(attempts.get(i), attempts.get(j), violations);
                    }
                }
            }
        }
        return new Verdict("5 key ordering", exercisedCases, violations);
    }

    private void checkOrder(ClientAttempt first, ClientAttempt second, List<String> violations) {
        for (EngineQuery firstQuery : engineQueries(first)) {
            for (EngineQuery secondQuery : engineQueries(second)) {
                if (firstQuery.receivedNs() <= secondQuery.receivedNs()
                        ? secondQuery.receivedNs() + CLOCK_TOLERANCE_NS < firstQuery.finishedNs()
                        : firstQuery.receivedNs() + CLOCK_TOLERANCE_NS < secondQuery.finishedNs()) {
                    violations.add(
                            first.tag()
                                    + " and "
                                    + second.tag()
                                    + " of key "
                                    + first.key()
                                    + " were open at the same time");
                } else if (secondQuery.receivedNs() < firstQuery.receivedNs()
                        && second.sentNs() - first.sentNs() > CERTAIN_ORDER_NS) {
                    violations.add(
                            second.tag()
                                    + " of key "
                                    + first.key()
                                    + " started before "
                                    + first.tag());
                }
            }
        }
    }
}
