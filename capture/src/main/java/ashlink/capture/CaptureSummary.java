package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Outcome;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * Counts queries by class, attempts by engine and load by second of a capture. The report template
 * reads the getters by name. Not thread-safe.
 */
public final class CaptureSummary implements Consumer<Entry> {

    private static final double NS_PER_S = 1e9;

    /** Numbers of queries of a class by final result. */
    public static final class ClassCount {
        private long submitted;
        private long served;
        private long rejected;
        private long failed;
        private long disconnected;

        /** Returns the number of submitted queries. */
        public long getTaken() {
            return submitted;
        }

        /** Returns the number of queries that ended with a result or error from an engine. */
        public long getServed() {
            return served;
        }

        /** Returns the number of rejected queries. */
        public long getRefused() {
            return rejected;
        }

        /** Returns the number of failed queries. */
        public long getFailed() {
            return failed;
        }

        /** Returns the number of queries whose client disconnected. */
        public long getGone() {
            return disconnected;
        }
    }

    /** Counts of one second of a capture. */
    public static final class Second {
        private long submitted;
        private long endedAttempts;
        private int queued;
        private final Map<String, Integer> inFlight = new TreeMap<>();

        /** Returns the number of queries submitted in this second. */
        public long getTaken() {
            return submitted;
        }

        /** Returns the number of attempts that ended in this second. */
        public long getEndedAttempts() {
            return endedAttempts;
        }

        /** Returns the number of open queries without an attempt at the end of this second. */
        public int getQueued() {
            return queued;
        }

        /** Returns the number of attempts in flight by engine at the end of this second. */
        public Map<String, Integer> getInFlight() {
            return inFlight;
        }
    }

    private final Map<String, ClassCount> classes = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> attemptEndsByEngine = new TreeMap<>();
    private final TreeMap<Integer, Second> seconds = new TreeMap<>();
    private final Map<Long, String> classByOpenQuery = new HashMap<>();
    private final Map<Long, String> engineByQuery = new HashMap<>();
    private String router = "";
    private String moduleHash = "";
    private long starts;
    private long gaps;
    private long steps;

    /** Time of the first step since the last start; 0 before it. */
    private long firstStepNs;

    /** Number of seconds covered by the starts before the last one. */
    private int secondsOfEarlierStarts;

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Start start) {
            handleStart(start);
        } else if (entry instanceof Entry.Gap) {
            gaps++;
        } else if (entry instanceof Entry.Step step) {
            handleStep(step);
        }
    }

    private void handleStart(Entry.Start start) {
        router = start.router();
        moduleHash = start.moduleHash();
        starts++;
        classByOpenQuery.clear();
        engineByQuery.clear();
        start.settings().classes().forEach(queryClass -> counts(queryClass.name()));
        firstStepNs = 0;
        secondsOfEarlierStarts = seconds.isEmpty() ? 0 : seconds.lastKey() + 1;
    }

    private ClassCount counts(String queryClass) {
        return classes.computeIfAbsent(queryClass, name -> new ClassCount());
    }

    private void handleStep(Entry.Step step) {
        steps++;
        firstStepNs = firstStepNs == 0 ? step.nowNs() : firstStepNs;
        int secondIndex = secondsOfEarlierStarts + (int) ((step.nowNs() - firstStepNs) / NS_PER_S);
        Second second = seconds.computeIfAbsent(secondIndex, index -> new Second());
        handleEvent(step.event(), second);
        step.actions().forEach(this::handleAction);
        second.queued =
                classByOpenQuery.size()
                        - (int)
                                engineByQuery.keySet().stream()
                                        .filter(classByOpenQuery::containsKey)
                                        .count();
        second.inFlight.clear();
        engineByQuery.values().forEach(engine -> second.inFlight.merge(engine, 1, Integer::sum));
    }

    private void handleEvent(Event event, Second second) {
        if (event instanceof QuerySubmitted submitted) {
            counts(submitted.queryClass()).submitted++;
            second.submitted++;
            classByOpenQuery.put(submitted.id(), submitted.queryClass());
        } else if (event instanceof AttemptEnded ended) {
            second.endedAttempts++;
            handleAttemptEnded(ended);
        } else if (event instanceof ClientDisconnected disconnected
                && classByOpenQuery.containsKey(disconnected.id())) {
            counts(classByOpenQuery.remove(disconnected.id())).disconnected++;
        }
    }

    private void handleAttemptEnded(AttemptEnded ended) {
        engineByQuery.remove(ended.id());
        attemptEndsByEngine
                .computeIfAbsent(ended.engine(), engine -> new TreeMap<>())
                .merge(ended.outcome().name(), 1L, Long::sum);
        if (!ended.clientAnswered() || !classByOpenQuery.containsKey(ended.id())) {
            return;
        }
        ClassCount counts = counts(classByOpenQuery.remove(ended.id()));
        if (ended.outcome() == Outcome.SERVED || ended.outcome() == Outcome.ERROR) {
            counts.served++;
        } else {
            counts.failed++;
        }
    }

    private void handleAction(Action action) {
        if (action instanceof StartAttempt start) {
            engineByQuery.put(start.id(), start.engine());
        } else if (action instanceof Reject reject && classByOpenQuery.containsKey(reject.id())) {
            counts(classByOpenQuery.remove(reject.id())).rejected++;
        } else if (action instanceof Fail fail && classByOpenQuery.containsKey(fail.id())) {
            counts(classByOpenQuery.remove(fail.id())).failed++;
        }
    }

    /** Returns the counts by class. */
    public Map<String, ClassCount> getClasses() {
        return classes;
    }

    /** Returns the number of ended attempts by engine and outcome. */
    public Map<String, Map<String, Long>> getEngines() {
        return attemptEndsByEngine;
    }

    /**
     * Returns the counts by second since the first step. The seconds of a later start are numbered
     * after the seconds of the earlier starts.
     */
    public Map<Integer, Second> getSeconds() {
        return seconds;
    }

    /** Returns the name of the router. */
    public String getRouter() {
        return router;
    }

    /** Returns the hash of the decision module's code at the last start. */
    public String getModuleHash() {
        return moduleHash;
    }

    /** Returns the number of starts, of gaps and of steps, in this order. */
    public List<Long> getTotals() {
        return List.of(starts, gaps, steps);
    }
}
