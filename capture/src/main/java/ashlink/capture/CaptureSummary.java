package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
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

/** What happened in a capture, counted by class, by engine, and by second. */
public final class CaptureSummary implements Consumer<Entry> {

    private static final double S = 1e9;

    /** Requests of a class by how they ended. */
    public static final class ClassCount {
        private long taken;
        private long served;
        private long refused;
        private long failed;
        private long gone;

        /** Requests taken. */
        public long getTaken() {
            return taken;
        }

        /** Requests that an engine's answer ended. */
        public long getServed() {
            return served;
        }

        /** Requests refused. */
        public long getRefused() {
            return refused;
        }

        /** Requests failed. */
        public long getFailed() {
            return failed;
        }

        /** Requests whose client went. */
        public long getGone() {
            return gone;
        }
    }

    /** One second. */
    public static final class Second {
        private long taken;
        private long ended;
        private int held;
        private final Map<String, Integer> out = new TreeMap<>();

        /** Requests taken in it. */
        public long getTaken() {
            return taken;
        }

        /** Attempts ended in it. */
        public long getEnded() {
            return ended;
        }

        /** Requests held at its end: taken, not answered, and at no engine. */
        public int getHeld() {
            return held;
        }

        /** Attempts out at each engine at its end. */
        public Map<String, Integer> getOut() {
            return out;
        }
    }

    private final Map<String, ClassCount> classes = new LinkedHashMap<>();
    private final Map<String, Map<String, Long>> engines = new TreeMap<>();
    private final TreeMap<Integer, Second> seconds = new TreeMap<>();
    private final Map<Long, String> open = new HashMap<>();
    private final Map<Long, String> sentTo = new HashMap<>();
    private String router = "";
    private String moduleHash = "";
    private long starts;
    private long gaps;
    private long steps;
    private long firstNs;
    private int offset;

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Start start) {
            router = start.router();
            moduleHash = start.moduleHash();
            starts++;
            open.clear();
            sentTo.clear();
            start.settings()
                    .classes()
                    .forEach(
                            queryClass ->
                                    classes.computeIfAbsent(
                                            queryClass.name(), text -> new ClassCount()));
            firstNs = 0;
            offset =
                    seconds.isEmpty()
                            ? 0
                            : seconds.lastKey() + 1; // starts stand one after the other
        } else if (entry instanceof Entry.Gap) {
            gaps++;
        } else if (entry instanceof Entry.Step s) {
            step(s);
        }
    }

    private ClassCount of(String queryClass) {
        return classes.computeIfAbsent(queryClass, text -> new ClassCount());
    }

    private void step(Entry.Step step) {
        steps++;
        firstNs = firstNs == 0 ? step.nowNs() : firstNs;
        Second second =
                seconds.computeIfAbsent(
                        offset + (int) ((step.nowNs() - firstNs) / S), k -> new Second());
        if (step.event() instanceof QuerySubmitted querySubmitted) {
            of(querySubmitted.queryClass()).taken++;
            second.taken++;
            open.put(querySubmitted.id(), querySubmitted.queryClass());
        } else if (step.event() instanceof AttemptEnded attemptEnded) {
            second.ended++;
            sentTo.remove(attemptEnded.id());
            engines.computeIfAbsent(attemptEnded.engine(), k -> new TreeMap<>())
                    .merge(attemptEnded.outcome().name(), 1L, Long::sum);
            if (attemptEnded.clientAnswered() && open.containsKey(attemptEnded.id())) {
                ClassCount classCount = of(open.remove(attemptEnded.id()));
                classCount.served +=
                        attemptEnded.outcome() == Outcome.SERVED
                                        || attemptEnded.outcome() == Outcome.ERROR
                                ? 1
                                : 0;
                classCount.failed +=
                        attemptEnded.outcome() == Outcome.SERVED
                                        || attemptEnded.outcome() == Outcome.ERROR
                                ? 0
                                : 1;
            }
        } else if (step.event() instanceof ClientDisconnected clientDisconnected
                && open.containsKey(clientDisconnected.id())) {
            of(open.remove(clientDisconnected.id())).gone++;
        }
        step.actions().forEach(this::did);
        second.held =
                open.size() - (int) sentTo.keySet().stream().filter(open::containsKey).count();
        second.out.clear();
        sentTo.values().forEach(e -> second.out.merge(e, 1, Integer::sum));
    }

    private void did(Action action) {
        if (action instanceof StartAttempt startAttempt) {
            sentTo.put(startAttempt.id(), startAttempt.engine());
        } else if (action instanceof Reject reject && open.containsKey(reject.id())) {
            of(open.remove(reject.id())).refused++;
        } else if (action instanceof Fail fail && open.containsKey(fail.id())) {
            of(open.remove(fail.id())).failed++;
        }
    }

    /** Counts by class. */
    public Map<String, ClassCount> getClasses() {
        return classes;
    }

    /** Ends of attempts by engine and outcome. */
    public Map<String, Map<String, Long>> getEngines() {
        return engines;
    }

    /** Counts by second from the first step; those of a later start follow on. */
    public Map<Integer, Second> getSeconds() {
        return seconds;
    }

    /** Name of the router. */
    public String getRouter() {
        return router;
    }

    /** Hash of the module's code. */
    public String getModuleHash() {
        return moduleHash;
    }

    /** Starts, gaps and steps, in this order. */
    public List<Long> getTotals() {
        return List.of(starts, gaps, steps);
    }
}
