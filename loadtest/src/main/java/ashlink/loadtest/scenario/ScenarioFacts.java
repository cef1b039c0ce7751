package ashlink.loadtest.scenario;

import ashlink.config.RouterConfig;
import ashlink.config.ScenarioConfig;
import ashlink.loadtest.load.ClientAttempt;
import java.util.List;

/**
 * The records of a scenario made by the clients, the engines and the fault injection. Nothing in
 * the records comes from a router. Times are from {@link System#nanoTime}.
 *
 * @param scenario scenario that was run
 * @param settings settings of one of the routers, with the classes and limits to check against
 * @param startNs start of the load
 * @param clientAttempts attempts of the clients
 * @param engineQueries queries that the engines received
 * @param drains drains that the routers were notified of
 * @param routerOutages times during which a router was down
 * @param engineOutages times during which an engine was down
 * @param engineFaults times during which an engine had a fault
 * @param overloadedEngines engines that crashed by overload during slow start
 */
public record ScenarioFacts(
        ScenarioConfig scenario,
        RouterConfig settings,
        long startNs,
        List<ClientAttempt> clientAttempts,
        List<EngineQuery> engineQueries,
        List<Drain> drains,
        List<Interval> routerOutages,
        List<Interval> engineOutages,
        List<Interval> engineFaults,
        List<String> overloadedEngines) {

    /** A drain of an engine, as announced to one router. */
    public record Drain(String router, String engine, long announcedNs, long endNs) {}

    /** A time during which a router or an engine was affected. */
    public record Interval(String name, long startNs, long endNs) {

        /** Returns whether this time overlaps with the given one. */
        public boolean overlaps(long otherStartNs, long otherEndNs) {
            return startNs <= otherEndNs && endNs >= otherStartNs;
        }
    }
}
