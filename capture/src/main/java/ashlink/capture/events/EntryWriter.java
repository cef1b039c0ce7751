package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.Set;
import java.util.function.UnaryOperator;

/**
 * Turns entries into bytes. Times are differences to the one before; keys go through a function
 * that hides them.
 */
public final class EntryWriter {

    static final int START = 1;
    static final int STEP = 2;
    static final int GAP = 3;

    private final EventEncoder out = new EventEncoder();
    private final UnaryOperator<String> hideKey;
    private long lastNs;
    private long lastId;

    /** A writer that puts {@code hideKey.apply(key)} in the place of each key. */
    public EntryWriter(UnaryOperator<String> hideKey) {
        this.hideKey = hideKey;
    }

    /** Bytes of the frame in hand. */
    public byte[] bytes() {
        return out.bytes();
    }

    /** Length of the frame in hand. */
    public int size() {
        return out.size();
    }

    /** Starts a frame; in a new segment nothing that was said before counts. */
    public void startFrame(boolean newSegment) {
        out.clear();
        if (newSegment) {
            out.forget();
            lastNs = 0;
            lastId = 0;
        }
    }

    /** Appends an entry to the frame. */
    public void write(Entry entry) {
        if (entry instanceof Entry.Start s) {
            out.put(START);
            out.text(s.moduleHash());
            out.text(s.router());
            settings(s.settings());
        } else if (entry instanceof Entry.Step s) {
            out.put(STEP);
            time(s.nowNs());
            event(s.event());
            out.whole(s.actions().size());
            s.actions().forEach(this::action);
        } else if (entry instanceof Entry.Gap g) {
            out.put(GAP);
            out.whole(g.entries());
        }
    }

    private void time(long ns) {
        out.signed(ns - lastNs);
        lastNs = ns;
    }

    private void id(long id) {
        out.signed(id - lastId);
        lastId = id;
    }

    // ---- Events
    private void event(Event event) {
        if (event instanceof QuerySubmitted e) {
            out.put(1);
            id(e.id());
            out.text(e.queryClass());
            out.text(e.key() == null ? null : hideKey.apply(e.key()));
            out.signed(e.tableGroup());
            out.signed(e.deadlineNs() - lastNs);
            out.signed(e.estimatedWorkNs());
            out.fraction(e.estimatedMemoryMb());
            out.text(e.tenant());
        } else if (event instanceof AttemptEnded e) {
            out.put(2);
            id(e.id());
            out.whole(e.attempt());
            out.text(e.engine());
            out.put(e.outcome().ordinal());
            out.signed(e.durationNs());
            out.flag(e.clientAnswered());
            out.fraction(e.workMs());
            out.fraction(e.memoryMb());
            report(e.loadReport());
        } else if (event instanceof TimerFired e) {
            out.put(3);
            out.signed(e.label());
        } else if (event instanceof HealthCheckCompleted e) {
            out.put(4);
            out.text(e.engine());
            out.put(e.outcome().ordinal());
            out.signed(e.durationNs());
            report(e.loadReport());
        } else if (event instanceof EndpointsChanged e) {
            out.put(5);
            out.put(e.kind().ordinal());
            out.whole(e.endpoints().size());
            e.endpoints().forEach(this::listEntry);
        } else if (event instanceof ClientDisconnected e) {
            out.put(6);
            id(e.id());
        } else if (event instanceof AttemptProgress e) {
            out.put(7);
            id(e.id());
            out.whole(e.attempt());
            out.text(e.engine());
            out.put(e.kind().ordinal());
            out.fraction(e.amount());
        }
    }

    private void report(LoadReport r) {
        out.fraction(r.queued());
        out.fraction(r.cpuUtilization());
        out.fraction(r.memoryUtilization());
        out.fraction(r.diskUtilization());
        out.fraction(r.inFlight());
    }

    private void listEntry(Endpoint e) {
        out.text(e.engine());
        out.put(e.state().ordinal());
        out.text(e.zone());
        out.text(e.kind());
        out.signed(e.cell());
        out.signed(e.startedNs());
    }

    // ---- Actions
    private void action(Action action) {
        if (action instanceof StartAttempt a) {
            out.put(1);
            id(a.id());
            out.text(a.engine());
            out.signed(a.timeoutNs());
        } else if (action instanceof SetAttemptResources a) {
            out.put(2);
            id(a.id());
            out.signed(a.priority());
            out.signed(a.memoryMb());
        } else if (action instanceof Reject a) {
            out.put(3);
            id(a.id());
            out.signed(a.retryAfterNs());
        } else if (action instanceof Fail a) {
            out.put(4);
            id(a.id());
        } else if (action instanceof CancelAttempt a) {
            out.put(5);
            id(a.id());
            out.whole(a.attempt());
        } else if (action instanceof CheckHealth a) {
            out.put(6);
            out.text(a.engine());
        } else if (action instanceof SetTimer a) {
            out.put(7);
            out.signed(a.label());
            out.signed(a.timeNs() - lastNs);
        } else if (action instanceof WatchEndpoints) {
            out.put(8);
        } else if (action instanceof Log a) {
            out.put(9);
            out.text(a.text());
        }
    }

    // ---- Settings
    private void settings(Settings s) {
        out.signed(s.seed());
        out.whole(s.routerCount());
        out.whole(s.routerIndex());
        out.text(s.zone());
        out.whole(s.classes().size());
        s.classes().forEach(this::queryClass);
        out.whole(s.kinds().size());
        for (EngineKind k : s.kinds()) {
            out.text(k.name());
            out.whole(k.cores());
            out.fraction(k.memoryMb());
        }
        allowed(s.capabilities());
        limits(s.limits());
        out.whole(s.tenants().size());
        for (Tenant t : s.tenants()) {
            out.text(t.name());
            out.fraction(t.quotaPerS());
        }
        out.fraction(s.overQuotaWeight());
    }

    private void queryClass(QueryClass c) {
        out.text(c.name());
        out.signed(c.latencyObjectiveNs());
        out.fraction(c.objectivePerWork());
        out.signed(c.deadlineNs());
        out.put(c.retrySafety().ordinal());
        out.put(c.deduplicationScope().ordinal());
        out.signed(c.deduplicationWindowNs());
        out.fraction(c.priorityWeight());
        out.fraction(c.lateWeightFraction());
        out.flag(c.ordered());
        texts(c.engineKinds());
        texts(c.zones());
        out.whole(c.threads());
        out.flag(c.locksTables());
        out.flag(c.waitsForTableLocks());
    }

    private void texts(Set<String> texts) {
        out.whole(texts.size());
        texts.forEach(out::text);
    }

    private void allowed(Capabilities a) {
        out.flag(a.healthChecks());
        out.flag(a.cancellation());
        out.whole(a.maxAttempts());
        out.signed(a.maxRetryAfterNs());
        out.flag(a.memoryGrants());
        out.flag(a.priorities());
        out.fraction(a.maxGrantFraction());
        out.flag(a.queuesForMemory());
        out.signed(a.progressIntervalNs());
        out.flag(a.reportsCost());
        out.flag(a.inlineLoadReports());
        out.flag(a.endpointsMustBeWatched());
    }

    private void limits(PolicyLimits l) {
        out.signed(l.drainGraceNs());
        out.fraction(l.slowStartFraction());
        out.signed(l.slowStartNs());
        out.fraction(l.slowStartOverloadFactor());
        out.signed(l.slowStartWindowNs());
        out.signed(l.keyQuietPeriodNs());
        out.fraction(l.freeRetries());
        out.fraction(l.retriesPerQuery());
        out.signed(l.retryBudgetWindowNs());
    }
}
