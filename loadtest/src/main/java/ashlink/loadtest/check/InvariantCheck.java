package ashlink.loadtest.check;

import ashlink.decisions.api.QueryClass;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.EngineQuery;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.List;
import java.util.Map;

/** A check of one invariant against the records of a scenario. */
abstract class InvariantCheck {

    static final long NS_PER_MS = 1_000_000L;

    /**
     * Tolerance between the times recorded by clients, routers and engines: threads are scheduled
     * late, and an emulated engine checks its connections only every 10 ms.
     */
    static final long CLOCK_TOLERANCE_NS = 60 * NS_PER_MS;

    final ScenarioFacts facts;
    private final Map<String, List<EngineQuery>> engineQueriesByTag;

    InvariantCheck(ScenarioFacts facts, Map<String, List<EngineQuery>> engineQueriesByTag) {
        this.facts = facts;
        this.engineQueriesByTag = engineQueriesByTag;
    }

    /** Returns the verdict on the invariant. */
    abstract Verdict check();

    /** Returns the queries that engines received for an attempt, in the order of receipt. */
    final List<EngineQuery> engineQueries(ClientAttempt clientAttempt) {
        return engineQueriesByTag.getOrDefault(clientAttempt.tag(), List.of());
    }

    final QueryClass queryClass(ClientAttempt clientAttempt) {
        return facts.settings().queryClasses().get(clientAttempt.queryClass());
    }

    final boolean routerCrashed(ClientAttempt clientAttempt) {
        return facts.routerOutages().stream()
                .anyMatch(
                        interval ->
                                interval.name().equals(clientAttempt.router())
                                        && interval.overlaps(
                                                clientAttempt.sentNs(),
                                                clientAttempt.reply().endNs()));
    }
}
