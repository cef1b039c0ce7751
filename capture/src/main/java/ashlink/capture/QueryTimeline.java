package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
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
 * Extracts the timeline of one query from a capture: the submission, the known state of the engines
 * at each attempt, the outcomes of the attempts, and the final result. Not thread-safe.
 */
public final class QueryTimeline implements Consumer<Entry> {

    private static final double NS_PER_MS = 1e6;

    private final long queryId;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, CapturedEngineState> engines = new LinkedHashMap<>();
    private final Map<String, QueryClass> classes = new HashMap<>();
    private final Map<Long, String> engineByQuery = new HashMap<>();

    /** Null before the query is submitted. */
    private QuerySubmitted query;

    private long submittedNs;
    private boolean mayHaveRun;
    private boolean finished;

    /** Creates the timeline of the query with the given identifier. */
    public QueryTimeline(long id) {
        this.queryId = id;
    }

    /** Returns the lines of the timeline; empty if the capture does not contain the query. */
    public List<String> lines() {
        return List.copyOf(lines);
    }

    @Override
    public void accept(Entry entry) {
        if (entry instanceof Entry.Start start) {
            engines.clear();
            engineByQuery.clear();
            classes.clear();
            start.settings()
                    .classes()
                    .forEach(queryClass -> classes.put(queryClass.name(), queryClass));
        } else if (entry instanceof Entry.Gap gap && query != null && !finished) {
            String size = gap.entries() == 0 ? "unknown size" : gap.entries() + " entries";
            lines.add("gap of " + size + " in the capture: rest of the timeline unknown");
            finished = true;
        } else if (entry instanceof Entry.Step step && !finished) {
            handleEvent(step.event(), step.nowNs());
            step.actions().forEach(action -> handleAction(action, step.nowNs()));
        }
    }

    private void addLine(long nowNs, String text) {
        String time = String.format(Locale.ROOT, "%+9.1f ms  ", (nowNs - submittedNs) / NS_PER_MS);
        lines.add(time + text);
    }

    private CapturedEngineState engine(String name) {
        return engines.computeIfAbsent(name, unknown -> new CapturedEngineState());
    }

    private static long roundMs(long durationNs) {
        return Math.round(durationNs / NS_PER_MS);
    }

    // Events

    private void handleEvent(Event event, long nowNs) {
        if (event instanceof QuerySubmitted submitted && submitted.id() == queryId) {
            handleSubmitted(submitted, nowNs);
        } else if (event instanceof AttemptEnded ended) {
            handleAttemptEnded(ended, nowNs);
        } else if (event instanceof HealthCheckCompleted completed) {
            engine(completed.engine()).reportLoad(completed.loadReport(), nowNs);
        } else if (event instanceof AttemptProgress progress && progress.id() == queryId) {
            addLine(
                    nowNs,
                    "progress on "
                            + progress.engine()
                            + ": "
                            + progress.kind()
                            + " "
                            + progress.amount());
        } else if (event instanceof ClientDisconnected disconnected
                && disconnected.id() == queryId) {
            addLine(nowNs, "client disconnected");
            finished = true;
        } else if (event instanceof EndpointsChanged changed) {
            handleEndpointsChanged(changed, nowNs);
        }
    }

    private void handleSubmitted(QuerySubmitted submitted, long nowNs) {
        query = submitted;
        submittedNs = nowNs;
        QueryClass queryClass = classes.get(submitted.queryClass());
        lines.add(
                String.format(
                        Locale.ROOT,
                        "request %d of class %s%s: priority weight %.1f, latency objective %.0f"
                                + " ms, deadline in %.0f ms, estimated work %.0f ms, estimated"
                                + " memory %.0f MB%s",
                        queryId,
                        submitted.queryClass(),
                        submitted.key() == null ? "" : " with key " + submitted.key(),
                        queryClass == null ? 0 : queryClass.priorityWeight(),
                        queryClass == null ? 0 : queryClass.latencyObjectiveNs() / NS_PER_MS,
                        (submitted.deadlineNs() - nowNs) / NS_PER_MS,
                        submitted.estimatedWorkNs() / NS_PER_MS,
                        submitted.estimatedMemoryMb(),
                        describeRules(queryClass)));
    }

    private static String describeRules(QueryClass queryClass) {
        if (queryClass == null) {
            return "";
        }
        String retries =
                queryClass.retrySafety() == RetrySafety.AT_MOST_ONCE ? "; runs at most once" : "";
        String placement =
                queryClass.engineKinds().isEmpty()
                        ? ""
                        : "; only on engine kinds " + queryClass.engineKinds();
        return retries + placement + (queryClass.ordered() ? "; ordered by key" : "");
    }

    private void handleAttemptEnded(AttemptEnded ended, long nowNs) {
        boolean counted = engineByQuery.remove(ended.id()) != null;
        CapturedEngineState engine = engine(ended.engine());
        engine.attemptEnded(
                counted, ended.outcome() + " after " + roundMs(ended.durationNs()) + " ms");
        engine.reportLoad(ended.loadReport(), nowNs);
        if (ended.id() != queryId) {
            return;
        }
        boolean attemptMayHaveRun = ended.outcome().mayHaveRun();
        mayHaveRun |= attemptMayHaveRun;
        addLine(
                nowNs,
                "attempt "
                        + ended.attempt()
                        + " on "
                        + ended.engine()
                        + " ended: "
                        + ended.outcome()
                        + (attemptMayHaveRun ? ", may have run" : ", did not run")
                        + (ended.clientAnswered() ? "; client received the answer" : ""));
        finished = ended.clientAnswered();
    }

    private void handleEndpointsChanged(EndpointsChanged changed, long nowNs) {
        if (changed.kind() != EndpointListKind.DELTA) {
            engines.values().forEach(engine -> engine.setEndpoint(null));
        }
        changed.endpoints().forEach(endpoint -> engine(endpoint.engine()).setEndpoint(endpoint));
        if (query != null) {
            List<String> states =
                    changed.endpoints().stream()
                            .map(endpoint -> endpoint.engine() + " " + endpoint.state())
                            .toList();
            addLine(nowNs, "endpoint list changed: " + states);
        }
    }

    // Actions

    private void handleAction(Action action, long nowNs) {
        if (action instanceof StartAttempt start) {
            handleStartAttempt(start, nowNs);
        } else if (action instanceof Reject reject && reject.id() == queryId) {
            addLine(nowNs, describeRejection(reject));
            finished = true;
        } else if (action instanceof Fail fail && fail.id() == queryId) {
            addLine(nowNs, "failed: may have run and must not run more than once");
            finished = true;
        } else if (action instanceof CancelAttempt cancel && cancel.id() == queryId) {
            addLine(nowNs, "attempt " + cancel.attempt() + " cancelled by the router");
        } else if (action instanceof Log log && query != null) {
            addLine(nowNs, "log: " + log.text());
        }
    }

    private void handleStartAttempt(StartAttempt start, long nowNs) {
        engine(start.engine()).attemptStarted();
        engineByQuery.put(start.id(), start.engine());
        if (start.id() != queryId) {
            return;
        }
        addLine(
                nowNs,
                "sent to "
                        + start.engine()
                        + " with a timeout of "
                        + roundMs(start.timeoutNs())
                        + " ms; known engine states:");
        engines.forEach(
                (name, engine) ->
                        lines.add("              " + name + ": " + engine.describe(nowNs)));
    }

    private String describeRejection(Reject reject) {
        String delay =
                reject.retryAfterNs() > 0 ? " after " + roundMs(reject.retryAfterNs()) + " ms" : "";
        String mayHaveRunNote =
                mayHaveRun ? " (an attempt may have run; the class allows repetition)" : "";
        return "rejected: safe to retry" + delay + mayHaveRunNote;
    }
}
