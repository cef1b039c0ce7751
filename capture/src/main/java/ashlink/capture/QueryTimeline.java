package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The story of one request: when it came, what was known when it was sent, how its attempts ended,
 * what it was answered.
 */
public final class QueryTimeline implements Consumer<Entry> {

    private static final double MS = 1e6;

    /** What the module had been told of an engine. */
    private static final class Known {
        Endpoint listed;
        LoadReport report = LoadReport.NONE;
        long reportNs;
        int out;
        String lastEnd = "";
    }

    private final long id;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, Known> engines = new LinkedHashMap<>();
    private final Map<String, QueryClass> classes = new HashMap<>();
    private final Map<Long, String> sentTo = new HashMap<>();
    private QuerySubmitted request;
    private long takenNs;
    private boolean mayHaveRun;
    private boolean ended;

    /** The story of the request of that number. */
    public QueryTimeline(long id) {
        this.id = id;
    }

    /** What was found; empty if the request is not there. */
    public List<String> lines() {
        return List.copyOf(lines);
    }

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Start start) {
            engines.clear();
            sentTo.clear();
            classes.clear();
            start.settings()
                    .classes()
                    .forEach(queryClass -> classes.put(queryClass.name(), queryClass));
        } else if (entry instanceof Entry.Gap gap && request != null && !ended) {
            lines.add(
                    "a gap of "
                            + (gap.entries() == 0 ? "unknown size" : gap.entries() + " entries")
                            + ": the rest is not known");
            ended = true;
        } else if (entry instanceof Entry.Step step && !ended) {
            told(step);
            step.actions().forEach(action -> did(action, step.nowNs()));
        }
    }

    private String at(long now) {
        return String.format(Locale.ROOT, "%+9.1f ms  ", (now - takenNs) / MS);
    }

    private Known known(String engine) {
        return engines.computeIfAbsent(engine, text -> new Known());
    }

    // ---- What the module was told
    private void told(Entry.Step step) {
        long now = step.nowNs();
        if (step.event() instanceof QuerySubmitted querySubmitted && querySubmitted.id() == id) {
            request = querySubmitted;
            takenNs = now;
            QueryClass queryClass = classes.get(querySubmitted.queryClass());
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "request %d of class %s%s, worth %.1f, wanted within %.0f ms, to be"
                                + " answered within %.0f ms, estimated at %.0f ms and %.0f MB%s",
                            id,
                            querySubmitted.queryClass(),
                            querySubmitted.key() == null ? "" : " with key " + querySubmitted.key(),
                            queryClass == null ? 0 : queryClass.priorityWeight(),
                            queryClass == null ? 0 : queryClass.latencyObjectiveNs() / MS,
                            (querySubmitted.deadlineNs() - now) / MS,
                            querySubmitted.estimatedWorkNs() / MS,
                            querySubmitted.estimatedMemoryMb(),
                            rules(queryClass)));
        } else if (step.event() instanceof AttemptEnded attemptEnded) {
            Known k = known(attemptEnded.engine());
            if (sentTo.remove(attemptEnded.id()) != null) {
                k.out--;
            }
            k.lastEnd =
                    attemptEnded.outcome()
                            + " after "
                            + Math.round(attemptEnded.durationNs() / MS)
                            + " ms";
            news(attemptEnded.engine(), attemptEnded.loadReport(), now);
            if (attemptEnded.id() == id) {
                mayHaveRun |= attemptEnded.outcome().mayHaveRun();
                lines.add(
                        at(now)
                                + "attempt "
                                + attemptEnded.attempt()
                                + " at "
                                + attemptEnded.engine()
                                + " ended: "
                                + attemptEnded.outcome()
                                + (attemptEnded.outcome().mayHaveRun()
                                        ? ", may have run"
                                        : ", has not run")
                                + (attemptEnded.clientAnswered()
                                        ? "; the client has its answer"
                                        : ""));
                ended = attemptEnded.clientAnswered();
            }
        } else if (step.event() instanceof HealthCheckCompleted completed) {
            news(completed.engine(), completed.loadReport(), now);
        } else if (step.event() instanceof AttemptProgress attemptProgress
                && attemptProgress.id() == id) {
            lines.add(
                    at(now)
                            + "progress at "
                            + attemptProgress.engine()
                            + ": "
                            + attemptProgress.kind()
                            + " "
                            + attemptProgress.amount());
        } else if (step.event() instanceof ClientDisconnected clientDisconnected
                && clientDisconnected.id() == id) {
            lines.add(at(now) + "the client no longer waits");
            ended = true;
        } else if (step.event() instanceof EndpointsChanged endpointsChanged) {
            if (endpointsChanged.kind() != EndpointListKind.DELTA) {
                engines.values().forEach(k -> k.listed = null);
            }
            endpointsChanged
                    .endpoints()
                    .forEach(endpoint -> known(endpoint.engine()).listed = endpoint);
            if (request != null) {
                lines.add(
                        at(now)
                                + "news of the list: "
                                + endpointsChanged.endpoints().stream()
                                        .map(endpoint -> endpoint.engine() + " " + endpoint.state())
                                        .toList());
            }
        }
    }

    private static String rules(QueryClass queryClass) {
        if (queryClass == null) {
            return "";
        }
        String effect =
                queryClass.retrySafety() == RetrySafety.AT_MOST_ONCE ? "; never to run twice" : "";
        String place =
                queryClass.engineKinds().isEmpty() ? "" : "; only on " + queryClass.engineKinds();
        return effect + place + (queryClass.ordered() ? "; in order of its key" : "");
    }

    private void news(String engine, LoadReport report, long now) {
        if (!report.equals(LoadReport.NONE)) {
            known(engine).report = report;
            known(engine).reportNs = now;
        }
    }

    // ---- What it did
    private void did(Action action, long now) {
        if (action instanceof StartAttempt startAttempt) {
            known(startAttempt.engine()).out++;
            sentTo.put(startAttempt.id(), startAttempt.engine());
            if (startAttempt.id() == id) {
                lines.add(
                        at(now)
                                + "sent to "
                                + startAttempt.engine()
                                + " for at most "
                                + Math.round(startAttempt.timeoutNs() / MS)
                                + " ms; then known of each engine:");
                engines.forEach(
                        (name, k) -> lines.add("              " + name + ": " + shown(k, now)));
            }
        } else if (action instanceof Reject reject && reject.id() == id) {
            lines.add(
                    at(now)
                            + "refused: trying again is harmless"
                            + (reject.retryAfterNs() > 0
                                    ? ", in " + Math.round(reject.retryAfterNs() / MS) + " ms"
                                    : "")
                            + (mayHaveRun ? " (it may have run, and may be repeated)" : ""));
            ended = true;
        } else if (action instanceof Fail fail && fail.id() == id) {
            lines.add(at(now) + "failed: it may have run and must not run twice");
            ended = true;
        } else if (action instanceof CancelAttempt cancelAttempt && cancelAttempt.id() == id) {
            lines.add(at(now) + "attempt " + cancelAttempt.attempt() + " called off");
        } else if (action instanceof Log log && request != null) {
            lines.add(at(now) + "log: " + log.text());
        }
    }

    private static String shown(Known known, long now) {
        String listed =
                known.listed == null
                        ? "not listed"
                        : known.listed.state()
                                + ", "
                                + known.listed.kind()
                                + ", "
                                + known.listed.zone()
                                + (known.listed.startedNs() > 0
                                        ? ", up "
                                                + Math.round(
                                                        (now - known.listed.startedNs())
                                                                / MS
                                                                / 1000)
                                                + " s"
                                        : "");
        String report =
                known.report.equals(LoadReport.NONE)
                        ? "no report"
                        : String.format(
                                Locale.ROOT,
                                "report %.0f ms old: waiting %.0f, cores %.2f, memory %.2f, disks"
                                        + " %.2f",
                                (now - known.reportNs) / MS,
                                known.report.queued(),
                                known.report.cpuUtilization(),
                                known.report.memoryUtilization(),
                                known.report.diskUtilization());
        return listed
                + "; "
                + known.out
                + " of ours out; "
                + report
                + (known.lastEnd.isEmpty() ? "" : "; last end " + known.lastEnd);
    }
}
