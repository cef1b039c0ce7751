package ashlink.loadtest.scenario;

import ashlink.config.RouterConfig;
import ashlink.config.ScenarioConfig;
import ashlink.loadtest.load.ClientAttempt;
import java.util.List;

/**
 * The records of a scenario made by the clients, the engines and the fault injection. Nothing in
 * the records comes from a router. Times are from {@link System#nanoTime}.
 *
 * @param day scenario that was run
 * @param settings settings of one of the routers, with the classes and limits to check against
 * @param fromNs start of the load
 * @param tries attempts of the clients
 * @param ledger queries that the engines received
 * @param drains drains that the routers were notified of
 * @param routerKills times during which a router was down
 * @param engineDowns times during which an engine was down
 * @param sick times during which an engine had a fault
 * @param fallen engines that crashed by overload during slow start
 */
public record ScenarioFacts(
        ScenarioConfig day,
        RouterConfig settings,
        long fromNs,
        List<ClientAttempt> tries,
        List<SentQuery> ledger,
        List<Drain> drains,
        List<Span> routerKills,
        List<Span> engineDowns,
        List<Span> sick,
        List<String> fallen) {

    /** A drain of an engine, as announced to one router. */
    public record Drain(String router, String engine, long toldNs, long untilNs) {}

    /** A time during which a router or an engine was affected. */
    public record Span(String name, long fromNs, long untilNs) {

        /** Returns whether this time overlaps with the given one. */
        public boolean touches(long from, long until) {
            return fromNs <= until && untilNs >= from;
        }
    }
}
