package ashlink.capture;

import ashlink.Gateway.Action;
import ashlink.Gateway.Cancel;
import ashlink.Gateway.ClientGone;
import ashlink.Gateway.Effect;
import ashlink.Gateway.Ended;
import ashlink.Gateway.Fail;
import ashlink.Gateway.ListEntry;
import ashlink.Gateway.ListForm;
import ashlink.Gateway.ListNews;
import ashlink.Gateway.Log;
import ashlink.Gateway.Probed;
import ashlink.Gateway.Progress;
import ashlink.Gateway.QueryClass;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.capture.events.Entry;
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
public final class Story implements Consumer<Entry> {

    private static final double MS = 1e6;

    /** What the module had been told of an engine. */
    private static final class Known {
        ListEntry listed;
        Report report = Report.NONE;
        long reportNs;
        int out;
        String lastEnd = "";
    }

    private final long id;
    private final List<String> lines = new ArrayList<>();
    private final Map<String, Known> engines = new LinkedHashMap<>();
    private final Map<String, QueryClass> classes = new HashMap<>();
    private final Map<Long, String> sentTo = new HashMap<>();
    private Request request;
    private long takenNs;
    private boolean mayHaveRun;
    private boolean ended;

    /** The story of the request of that number. */
    public Story(long id) {
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
        if (s.event() instanceof Request r && r.id() == id) {
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
                            c == null ? 0 : c.worth(),
                            c == null ? 0 : c.aimNs() / MS,
                            (r.deadlineNs() - now) / MS,
                            r.workNs() / MS,
                            r.memoryMb(),
                            rules(c)));
        } else if (s.event() instanceof Ended e) {
            Known k = known(e.engine());
            if (sentTo.remove(e.id()) != null) {
                k.out--;
            }
            k.lastEnd = e.outcome() + " after " + Math.round(e.tookNs() / MS) + " ms";
            news(e.engine(), e.report(), now);
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
                                + (e.over() ? "; the client has its answer" : ""));
                ended = e.over();
            }
        } else if (s.event() instanceof Probed p) {
            news(p.engine(), p.report(), now);
        } else if (s.event() instanceof Progress p && p.id() == id) {
            lines.add(at(now) + "progress at " + p.engine() + ": " + p.kind() + " " + p.amount());
        } else if (s.event() instanceof ClientGone g && g.id() == id) {
            lines.add(at(now) + "the client no longer waits");
            ended = true;
        } else if (s.event() instanceof ListNews n) {
            if (n.form() != ListForm.CHANGES) {
                engines.values().forEach(k -> k.listed = null);
            }
            n.entries().forEach(e -> known(e.engine()).listed = e);
            if (request != null) {
                lines.add(
                        at(now)
                                + "news of the list: "
                                + n.entries().stream()
                                        .map(e -> e.engine() + " " + e.phase())
                                        .toList());
            }
        }
    }

    private static String rules(QueryClass c) {
        if (c == null) {
            return "";
        }
        String effect = c.effect() == Effect.AT_MOST_ONCE ? "; never to run twice" : "";
        String place = c.kinds().isEmpty() ? "" : "; only on " + c.kinds();
        return effect + place + (c.inOrder() ? "; in order of its key" : "");
    }

    private void news(String engine, Report report, long now) {
        if (!report.equals(Report.NONE)) {
            known(engine).report = report;
            known(engine).reportNs = now;
        }
    }

    // ---- What it did
    private void did(Action action, long now) {
        if (action instanceof Send a) {
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
        } else if (action instanceof Refuse a && a.id() == id) {
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
        } else if (action instanceof Cancel a && a.id() == id) {
            lines.add(at(now) + "attempt " + a.attempt() + " called off");
        } else if (action instanceof Log a && request != null) {
            lines.add(at(now) + "log: " + a.text());
        }
    }

    private static String shown(Known k, long now) {
        String listed =
                k.listed == null
                        ? "not listed"
                        : k.listed.phase()
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
                k.report.equals(Report.NONE)
                        ? "no report"
                        : String.format(
                                Locale.ROOT,
                                "report %.0f ms old: waiting %.0f, cores %.2f, memory %.2f, disks"
                                        + " %.2f",
                                (now - k.reportNs) / MS,
                                k.report.waiting(),
                                k.report.coresBusy(),
                                k.report.memoryGranted(),
                                k.report.disksBusy());
        return listed
                + "; "
                + k.out
                + " of ours out; "
                + report
                + (k.lastEnd.isEmpty() ? "" : "; last end " + k.lastEnd);
    }
}
