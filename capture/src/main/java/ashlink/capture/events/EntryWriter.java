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
        if (entry instanceof Entry.Start start) {
            out.put(START);
            out.text(start.moduleHash());
            out.text(start.router());
            settings(start.settings());
        } else if (entry instanceof Entry.Step step) {
            out.put(STEP);
            time(step.nowNs());
            event(step.event());
            out.whole(step.actions().size());
            step.actions().forEach(this::action);
        } else if (entry instanceof Entry.Gap gap) {
            out.put(GAP);
            out.whole(gap.entries());
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
        if (event instanceof QuerySubmitted querySubmitted) {
            out.put(1);
            id(querySubmitted.id());
            out.text(querySubmitted.queryClass());
            out.text(querySubmitted.key() == null ? null : hideKey.apply(querySubmitted.key()));
            out.signed(querySubmitted.tableGroup());
            out.signed(querySubmitted.deadlineNs() - lastNs);
            out.signed(querySubmitted.estimatedWorkNs());
            out.fraction(querySubmitted.estimatedMemoryMb());
            out.text(querySubmitted.tenant());
        } else if (event instanceof AttemptEnded attemptEnded) {
            out.put(2);
            id(attemptEnded.id());
            out.whole(attemptEnded.attempt());
            out.text(attemptEnded.engine());
            out.put(attemptEnded.outcome().ordinal());
            out.signed(attemptEnded.durationNs());
            out.flag(attemptEnded.clientAnswered());
            out.fraction(attemptEnded.workMs());
            out.fraction(attemptEnded.memoryMb());
            report(attemptEnded.loadReport());
        } else if (event instanceof TimerFired timerFired) {
            out.put(3);
            out.signed(timerFired.label());
        } else if (event instanceof HealthCheckCompleted completed) {
            out.put(4);
            out.text(completed.engine());
            out.put(completed.outcome().ordinal());
            out.signed(completed.durationNs());
            report(completed.loadReport());
        } else if (event instanceof EndpointsChanged endpointsChanged) {
            out.put(5);
            out.put(endpointsChanged.kind().ordinal());
            out.whole(endpointsChanged.endpoints().size());
            endpointsChanged.endpoints().forEach(this::listEntry);
        } else if (event instanceof ClientDisconnected clientDisconnected) {
            out.put(6);
            id(clientDisconnected.id());
        } else if (event instanceof AttemptProgress attemptProgress) {
            out.put(7);
            id(attemptProgress.id());
            out.whole(attemptProgress.attempt());
            out.text(attemptProgress.engine());
            out.put(attemptProgress.kind().ordinal());
            out.fraction(attemptProgress.amount());
        }
    }

    private void report(LoadReport loadReport) {
        out.fraction(loadReport.queued());
        out.fraction(loadReport.cpuUtilization());
        out.fraction(loadReport.memoryUtilization());
        out.fraction(loadReport.diskUtilization());
        out.fraction(loadReport.inFlight());
    }

    private void listEntry(Endpoint endpoint) {
        out.text(endpoint.engine());
        out.put(endpoint.state().ordinal());
        out.text(endpoint.zone());
        out.text(endpoint.kind());
        out.signed(endpoint.cell());
        out.signed(endpoint.startedNs());
    }

    // ---- Actions
    private void action(Action action) {
        if (action instanceof StartAttempt startAttempt) {
            out.put(1);
            id(startAttempt.id());
            out.text(startAttempt.engine());
            out.signed(startAttempt.timeoutNs());
        } else if (action instanceof SetAttemptResources resources) {
            out.put(2);
            id(resources.id());
            out.signed(resources.priority());
            out.signed(resources.memoryMb());
        } else if (action instanceof Reject reject) {
            out.put(3);
            id(reject.id());
            out.signed(reject.retryAfterNs());
        } else if (action instanceof Fail fail) {
            out.put(4);
            id(fail.id());
        } else if (action instanceof CancelAttempt cancelAttempt) {
            out.put(5);
            id(cancelAttempt.id());
            out.whole(cancelAttempt.attempt());
        } else if (action instanceof CheckHealth checkHealth) {
            out.put(6);
            out.text(checkHealth.engine());
        } else if (action instanceof SetTimer setTimer) {
            out.put(7);
            out.signed(setTimer.label());
            out.signed(setTimer.timeNs() - lastNs);
        } else if (action instanceof WatchEndpoints) {
            out.put(8);
        } else if (action instanceof Log log) {
            out.put(9);
            out.text(log.text());
        }
    }

    // ---- Settings
    private void settings(Settings settings) {
        out.signed(settings.seed());
        out.whole(settings.routerCount());
        out.whole(settings.routerIndex());
        out.text(settings.zone());
        out.whole(settings.classes().size());
        settings.classes().forEach(this::queryClass);
        out.whole(settings.kinds().size());
        for (EngineKind engineKind : settings.kinds()) {
            out.text(engineKind.name());
            out.whole(engineKind.cores());
            out.fraction(engineKind.memoryMb());
        }
        allowed(settings.capabilities());
        limits(settings.limits());
        out.whole(settings.tenants().size());
        for (Tenant tenant : settings.tenants()) {
            out.text(tenant.name());
            out.fraction(tenant.quotaPerS());
        }
        out.fraction(settings.overQuotaWeight());
    }

    private void queryClass(QueryClass queryClass) {
        out.text(queryClass.name());
        out.signed(queryClass.latencyObjectiveNs());
        out.fraction(queryClass.objectivePerWork());
        out.signed(queryClass.deadlineNs());
        out.put(queryClass.retrySafety().ordinal());
        out.put(queryClass.deduplicationScope().ordinal());
        out.signed(queryClass.deduplicationWindowNs());
        out.fraction(queryClass.priorityWeight());
        out.fraction(queryClass.lateWeightFraction());
        out.flag(queryClass.ordered());
        texts(queryClass.engineKinds());
        texts(queryClass.zones());
        out.whole(queryClass.threads());
        out.flag(queryClass.locksTables());
        out.flag(queryClass.waitsForTableLocks());
    }

    private void texts(Set<String> texts) {
        out.whole(texts.size());
        texts.forEach(out::text);
    }

    private void allowed(Capabilities capabilities) {
        out.flag(capabilities.healthChecks());
        out.flag(capabilities.cancellation());
        out.whole(capabilities.maxAttempts());
        out.signed(capabilities.maxRetryAfterNs());
        out.flag(capabilities.memoryGrants());
        out.flag(capabilities.priorities());
        out.fraction(capabilities.maxGrantFraction());
        out.flag(capabilities.queuesForMemory());
        out.signed(capabilities.progressIntervalNs());
        out.flag(capabilities.reportsCost());
        out.flag(capabilities.inlineLoadReports());
        out.flag(capabilities.endpointsMustBeWatched());
    }

    private void limits(PolicyLimits policyLimits) {
        out.signed(policyLimits.drainGraceNs());
        out.fraction(policyLimits.slowStartFraction());
        out.signed(policyLimits.slowStartNs());
        out.fraction(policyLimits.slowStartOverloadFactor());
        out.signed(policyLimits.slowStartWindowNs());
        out.signed(policyLimits.keyQuietPeriodNs());
        out.fraction(policyLimits.freeRetries());
        out.fraction(policyLimits.retriesPerQuery());
        out.signed(policyLimits.retryBudgetWindowNs());
    }
}
