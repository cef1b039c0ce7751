package ashlink.loadtest.scenario;

import ashlink.emulator.EmulatedEngine;
import ashlink.loadtest.scenario.ScenarioFacts.Interval;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Crashes and restarts engines and records the outages. An engine with overlapping outages restarts
 * at the end of the last one. Not thread-safe.
 */
final class EngineOutages {

    private final Map<String, EmulatedEngine> engines;
    private final Map<String, Integer> openOutages = new LinkedHashMap<>();
    private final List<Interval> intervals = new ArrayList<>();

    EngineOutages(Map<String, EmulatedEngine> engines) {
        this.engines = engines;
    }

    void start(String engine, long endNs) {
        if (openOutages.merge(engine, 1, Integer::sum) == 1) {
            engines.get(engine).crash();
        }
        intervals.add(new Interval(engine, System.nanoTime(), endNs));
    }

    void end(String engine) throws IOException {
        if (openOutages.merge(engine, -1, Integer::sum) == 0) {
            engines.get(engine).restart();
        }
    }

    /** Returns the outages, each with its planned end. */
    List<Interval> intervals() {
        return List.copyOf(intervals);
    }
}
