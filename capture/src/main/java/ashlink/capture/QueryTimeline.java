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
        if (entry instanceof Entry.Start s) {
            engines.clear();
            sentTo.clear();
            classes.clear();
            s.settings().classes().forEach(c -> classes.put(c.name(), c));
        } else if (entry instanceof Entry.Gap g && request != null && !ended) {
            lines.add(
                    "a gap of "
                            + (g.entries() == 0 ? "unknown size" : g.entries() + " entries")
                            + ": the rest is not known");
            ended = true;
        } else if (entry instanceof Entry.Step s && !ended) {
            told(s);
            s.actions().forEach(a -> did(a, s.nowNs()));
        }
    }

    private String at(long now) {
        return String.format(Locale.ROOT, "%+9.1f ms  ", (now - takenNs) / MS);
    }

    private Known known(String engine) {
        return engines.computeIfAbsent(engine, k -> new Known());
    }

    // ---- What the module was told
    private void told(Entry.Step s) {
        long now = s.nowNs();
        if (s.event() instanceof QuerySubmitted r && r.id() == id) {
            request = r;
            takenNs = now;
            QueryClass c = classes.get(r.queryClass());
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "request %d of class %s%s, worth %.1f, wanted within %.0f ms, to be"
                                + " answered within %.0f ms, estimated at %.0f ms and %.0f MB%s",
                            id,
                            r.queryClass(),
                            r.key() == null ? "" : " with key " + r.key(),
                            c == null ? 0 : c.priorityWeight(),
                            c == null ? 0 : c.latencyObjectiveNs() / MS,
                            (r.deadlineNs() - now) / MS,
                            r.estimatedWorkNs() / MS,
                            r.estimatedMemoryMb(),
                            rules(c)));
        } else if (s.event() instanceof AttemptEnded e) {
            Known k = known(e.engine());
            if (sentTo.remove(e.id()) != null) {
                k.out--;
            }
            k.lastEnd = e.outcome() + " after " + Math.round(e.durationNs() / MS) + " ms";
            news(e.engine(), e.loadReport(), now);
            if (e.id() == id) {
                mayHaveRun |= e.outcome().mayHaveRun();
                lines.add(
                        at(now)
                                + "attempt "
                                + e.attempt()
                                + " at "
                                + e.engine()
                                + " ended: "
                                + e.outcome()
                                + (e.outcome().mayHaveRun() ? ", may have run" : ", has not run")
                                + (e.clientAnswered() ? "; the client has its answer" : ""));
                ended = e.clientAnswered();
            }
        } else if (s.event() instanceof HealthCheckCompleted p) {
            news(p.engine(), p.loadReport(), now);
        } else if (s.event() instanceof AttemptProgress p && p.id() == id) {
            lines.add(at(now) + "progress at " + p.engine() + ": " + p.kind() + " " + p.amount());
        } else if (s.event() instanceof ClientDisconnected g && g.id() == id) {
            lines.add(at(now) + "the client no longer waits");
            ended = true;
        } else if (s.event() instanceof EndpointsChanged n) {
            if (n.kind() != EndpointListKind.DELTA) {
                engines.values().forEach(k -> k.listed = null);
            }
            n.endpoints().forEach(e -> known(e.engine()).listed = e);
            if (request != null) {
                lines.add(
                        at(now)
                                + "news of the list: "
                                + n.endpoints().stream()
                                        .map(e -> e.engine() + " " + e.state())
                                        .toList());
            }
        }
    }

    private static String rules(QueryClass c) {
        if (c == null) {
            return "";
        }
        String effect = c.retrySafety() == RetrySafety.AT_MOST_ONCE ? "; never to run twice" : "";
        String place = c.engineKinds().isEmpty() ? "" : "; only on " + c.engineKinds();
        return effect + place + (c.ordered() ? "; in order of its key" : "");
    }

    private void news(String engine, LoadReport report, long now) {
        if (!report.equals(LoadReport.NONE)) {
            known(engine).report = report;
            known(engine).reportNs = now;
        }
    }

    // ---- What it did
    private void did(Action action, long now) {
        if (action instanceof StartAttempt a) {
            known(a.engine()).out++;
            sentTo.put(a.id(), a.engine());
            if (a.id() == id) {
                lines.add(
                        at(now)
                                + "sent to "
                                + a.engine()
                                + " for at most "
                                + Math.round(a.timeoutNs() / MS)
                                + " ms; then known of each engine:");
                engines.forEach(
                        (name, k) -> lines.add("              " + name + ": " + shown(k, now)));
            }
        } else if (action instanceof Reject a && a.id() == id) {
            lines.add(
                    at(now)
                            + "refused: trying again is harmless"
                            + (a.retryAfterNs() > 0
                                    ? ", in " + Math.round(a.retryAfterNs() / MS) + " ms"
                                    : "")
                            + (mayHaveRun ? " (it may have run, and may be repeated)" : ""));
            ended = true;
        } else if (action instanceof Fail a && a.id() == id) {
            lines.add(at(now) + "failed: it may have run and must not run twice");
            ended = true;
        } else if (action instanceof CancelAttempt a && a.id() == id) {
            lines.add(at(now) + "attempt " + a.attempt() + " called off");
        } else if (action instanceof Log a && request != null) {
            lines.add(at(now) + "log: " + a.text());
        }
    }

    private static String shown(Known k, long now) {
        String listed =
                k.listed == null
                        ? "not listed"
                        : k.listed.state()
                                + ", "
                                + k.listed.kind()
                                + ", "
                                + k.listed.zone()
                                + (k.listed.startedNs() > 0
                                        ? ", up "
                                                + Math.round(
                                                        (now - k.listed.startedNs()) / MS / 1000)
                                                + " s"
                                        : "");
        String report =
                k.report.equals(LoadReport.NONE)
                        ? "no report"
                        : String.format(
                                Locale.ROOT,
                                "report %.0f ms old: waiting %.0f, cores %.2f, memory %.2f, disks"
                                        + " %.2f",
                                (now - k.reportNs) / MS,
                                k.report.queued(),
                                k.report.cpuUtilization(),
                                k.report.memoryUtilization(),
                                k.report.diskUtilization());
        return listed
                + "; "
                + k.out
                + " of ours out; "
                + report
                + (k.lastEnd.isEmpty() ? "" : "; last end " + k.lastEnd);
    }
}
