package ashlink.loadtest.scenario;

import ashlink.config.RouterConfig;
import ashlink.config.ScenarioConfig;
import ashlink.loadtest.load.ClientAttempt;
import java.util.List;

/**
 * What was seen of a day from outside: by clients, by engines, and by the script itself. Nothing
 * here is a router's word. Times are of {@link System#nanoTime}.
 *
 * @param settings of one of the routers: the classes and figures that the rules go by
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

    /** A drain as one router was told of it. */
    public record Drain(String router, String engine, long toldNs, long untilNs) {}

    /** Something that held for a time. */
    public record Span(String name, long fromNs, long untilNs) {

        /** True if it overlaps with that time. */
        public boolean touches(long from, long until) {
            return fromNs <= until && untilNs >= from;
        }
    }
}
