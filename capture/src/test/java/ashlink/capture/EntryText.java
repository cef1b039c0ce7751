package ashlink.capture;

import ashlink.capture.events.Entry;
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
import java.util.List;

/**
 * Entries of a capture as plain text. The words are this class's own and enumerations are their
 * ordinal numbers, so the text stays the same when types, fields or constants are renamed.
 */
final class EntryText {

    private final StringBuilder text = new StringBuilder();

    /** The text of these entries, each on lines of its own. */
    static String of(List<Entry> entries) {
        EntryText all = new EntryText();
        entries.forEach(all::entry);
        return all.text.toString();
    }

    private void line(Object... parts) {
        for (int i = 0; i < parts.length; i++) {
            text.append(i == 0 ? "" : " ").append(parts[i]);
        }
        text.append('\n');
    }

    private void entry(Entry entry) {
        if (entry instanceof Entry.Start start) {
            line("start", start.moduleHash(), start.router());
            settings(start.settings());
        } else if (entry instanceof Entry.Step step) {
            line("step", step.nowNs());
            event(step.event());
            step.actions().forEach(this::action);
        } else if (entry instanceof Entry.Gap gap) {
            line("gap", gap.entries());
        } else {
            throw new AssertionError("an entry that has no text: " + entry);
        }
    }

    // ---- Events
    private void event(Event event) {
        if (event instanceof QuerySubmitted e) {
            line(
                    "  request",
                    e.id(),
                    e.queryClass(),
                    e.key(),
                    e.tableGroup(),
                    e.deadlineNs(),
                    e.estimatedWorkNs(),
                    e.estimatedMemoryMb(),
                    e.tenant());
        } else if (event instanceof AttemptEnded e) {
            line(
                    "  ended",
                    e.id(),
                    e.attempt(),
                    e.engine(),
                    e.outcome().ordinal(),
                    e.durationNs(),
                    e.clientAnswered(),
                    e.workMs(),
                    e.memoryMb(),
                    report(e.loadReport()));
        } else if (event instanceof TimerFired e) {
            line("  alarm", e.label());
        } else if (event instanceof HealthCheckCompleted e) {
            line(
                    "  probed",
                    e.engine(),
                    e.outcome().ordinal(),
                    e.durationNs(),
                    report(e.loadReport()));
        } else if (event instanceof EndpointsChanged e) {
            line("  list", e.kind().ordinal(), e.endpoints().size());
            e.endpoints().forEach(this::listEntry);
        } else if (event instanceof ClientDisconnected e) {
            line("  gone", e.id());
        } else if (event instanceof AttemptProgress e) {
            line("  progress", e.id(), e.attempt(), e.engine(), e.kind().ordinal(), e.amount());
        } else {
            throw new AssertionError("an event that has no text: " + event);
        }
    }

    private static String report(LoadReport r) {
        return "("
                + r.queued()
                + " "
                + r.cpuUtilization()
                + " "
                + r.memoryUtilization()
                + " "
                + r.diskUtilization()
                + " "
                + r.inFlight()
                + ")";
    }

    private void listEntry(Endpoint e) {
        line(
                "    engine",
                e.engine(),
                e.state().ordinal(),
                e.zone(),
                e.kind(),
                e.cell(),
                e.startedNs());
    }

    // ---- Actions
    private void action(Action action) {
        if (action instanceof StartAttempt a) {
            line("  > send", a.id(), a.engine(), a.timeoutNs());
        } else if (action instanceof SetAttemptResources a) {
            line("  > terms", a.id(), a.priority(), a.memoryMb());
        } else if (action instanceof Reject a) {
            line("  > refuse", a.id(), a.retryAfterNs());
        } else if (action instanceof Fail a) {
            line("  > fail", a.id());
        } else if (action instanceof CancelAttempt a) {
            line("  > cancel", a.id(), a.attempt());
        } else if (action instanceof CheckHealth a) {
            line("  > probe", a.engine());
        } else if (action instanceof SetTimer a) {
            line("  > set-alarm", a.label(), a.timeNs());
        } else if (action instanceof WatchEndpoints) {
            line("  > subscribe");
        } else if (action instanceof Log a) {
            line("  > log", a.text());
        } else {
            throw new AssertionError("an action that has no text: " + action);
        }
    }

    // ---- Settings
    private void settings(Settings s) {
        line(
                "  settings",
                s.seed(),
                s.routerCount(),
                s.routerIndex(),
                s.zone(),
                s.overQuotaWeight());
        s.classes().forEach(this::queryClass);
        for (EngineKind kind : s.kinds()) {
            line("  kind", kind.name(), kind.cores(), kind.memoryMb());
        }
        allowed(s.capabilities());
        limits(s.limits());
        for (Tenant tenant : s.tenants()) {
            line("  tenant", tenant.name(), tenant.quotaPerS());
        }
    }

    private void queryClass(QueryClass c) {
        line(
                "  class",
                c.name(),
                c.latencyObjectiveNs(),
                c.objectivePerWork(),
                c.deadlineNs(),
                c.retrySafety().ordinal(),
                c.deduplicationScope().ordinal(),
                c.deduplicationWindowNs(),
                c.priorityWeight(),
                c.lateWeightFraction(),
                c.ordered(),
                String.join(",", c.engineKinds()) + ";",
                String.join(",", c.zones()) + ";",
                c.threads(),
                c.locksTables(),
                c.waitsForTableLocks());
    }

    private void allowed(Capabilities a) {
        line(
                "  allowed",
                a.healthChecks(),
                a.cancellation(),
                a.maxAttempts(),
                a.maxRetryAfterNs(),
                a.memoryGrants(),
                a.priorities(),
                a.maxGrantFraction(),
                a.queuesForMemory(),
                a.progressIntervalNs(),
                a.reportsCost(),
                a.inlineLoadReports(),
                a.endpointsMustBeWatched());
    }

    private void limits(PolicyLimits l) {
        line(
                "  limits",
                l.drainGraceNs(),
                l.slowStartFraction(),
                l.slowStartNs(),
                l.slowStartOverloadFactor(),
                l.slowStartWindowNs(),
                l.keyQuietPeriodNs(),
                l.freeRetries(),
                l.retriesPerQuery(),
                l.retryBudgetWindowNs());
    }
}
