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
 * Formats the entries of a capture as plain text. The format uses keywords defined in this class
 * and the ordinals of enum constants, so that the text stays the same when types, fields or
 * constants are renamed.
 */
final class EntryText {

    private final StringBuilder text = new StringBuilder();

    /** Returns the text of the entries; each entry starts a new line. */
    static String of(List<Entry> entries) {
        EntryText formatter = new EntryText();
        entries.forEach(formatter::entry);
        return formatter.text.toString();
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
            throw new AssertionError("unsupported entry: " + entry);
        }
    }

    // Events

    private void event(Event event) {
        if (event instanceof QuerySubmitted submitted) {
            querySubmitted(submitted);
        } else if (event instanceof AttemptEnded ended) {
            attemptEnded(ended);
        } else if (event instanceof TimerFired fired) {
            line("  alarm", fired.label());
        } else if (event instanceof HealthCheckCompleted completed) {
            line(
                    "  probed",
                    completed.engine(),
                    completed.outcome().ordinal(),
                    completed.durationNs(),
                    loadReport(completed.loadReport()));
        } else if (event instanceof EndpointsChanged changed) {
            line("  list", changed.kind().ordinal(), changed.endpoints().size());
            changed.endpoints().forEach(this::endpoint);
        } else if (event instanceof ClientDisconnected disconnected) {
            line("  gone", disconnected.id());
        } else if (event instanceof AttemptProgress progress) {
            line(
                    "  progress",
                    progress.id(),
                    progress.attempt(),
                    progress.engine(),
                    progress.kind().ordinal(),
                    progress.amount());
        } else {
            throw new AssertionError("unsupported event: " + event);
        }
    }

    private void querySubmitted(QuerySubmitted submitted) {
        line(
                "  request",
                submitted.id(),
                submitted.queryClass(),
                submitted.key(),
                submitted.tableGroup(),
                submitted.deadlineNs(),
                submitted.estimatedWorkNs(),
                submitted.estimatedMemoryMb(),
                submitted.tenant());
    }

    private void attemptEnded(AttemptEnded ended) {
        line(
                "  ended",
                ended.id(),
                ended.attempt(),
                ended.engine(),
                ended.outcome().ordinal(),
                ended.durationNs(),
                ended.clientAnswered(),
                ended.workMs(),
                ended.memoryMb(),
                loadReport(ended.loadReport()));
    }

    private static String loadReport(LoadReport loadReport) {
        return "("
                + loadReport.queued()
                + " "
                + loadReport.cpuUtilization()
                + " "
                + loadReport.memoryUtilization()
                + " "
                + loadReport.diskUtilization()
                + " "
                + loadReport.inFlight()
                + ")";
    }

    private void endpoint(Endpoint endpoint) {
        line(
                "    engine",
                endpoint.engine(),
                endpoint.state().ordinal(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                endpoint.startedNs());
    }

    // Actions

    private void action(Action action) {
        if (action instanceof StartAttempt startAttempt) {
            line("  > send", startAttempt.id(), startAttempt.engine(), startAttempt.timeoutNs());
        } else if (action instanceof SetAttemptResources resources) {
            line("  > terms", resources.id(), resources.priority(), resources.memoryMb());
        } else if (action instanceof Reject reject) {
            line("  > refuse", reject.id(), reject.retryAfterNs());
        } else if (action instanceof Fail fail) {
            line("  > fail", fail.id());
        } else if (action instanceof CancelAttempt cancelAttempt) {
            line("  > cancel", cancelAttempt.id(), cancelAttempt.attempt());
        } else if (action instanceof CheckHealth checkHealth) {
            line("  > probe", checkHealth.engine());
        } else if (action instanceof SetTimer setTimer) {
            line("  > set-alarm", setTimer.label(), setTimer.timeNs());
        } else if (action instanceof WatchEndpoints) {
            line("  > subscribe");
        } else if (action instanceof Log log) {
            line("  > log", log.text());
        } else {
            throw new AssertionError("unsupported action: " + action);
        }
    }

    // Settings

    private void settings(Settings settings) {
        line(
                "  settings",
                settings.seed(),
                settings.routerCount(),
                settings.routerIndex(),
                settings.zone(),
                settings.overQuotaWeight());
        settings.classes().forEach(this::queryClass);
        for (EngineKind kind : settings.kinds()) {
            line("  kind", kind.name(), kind.cores(), kind.memoryMb());
        }
        capabilities(settings.capabilities());
        limits(settings.limits());
        for (Tenant tenant : settings.tenants()) {
            line("  tenant", tenant.name(), tenant.quotaPerS());
        }
    }

    private void queryClass(QueryClass queryClass) {
        line(
                "  class",
                queryClass.name(),
                queryClass.latencyObjectiveNs(),
                queryClass.objectivePerWork(),
                queryClass.deadlineNs(),
                queryClass.retrySafety().ordinal(),
                queryClass.deduplicationScope().ordinal(),
                queryClass.deduplicationWindowNs(),
                queryClass.priorityWeight(),
                queryClass.lateWeightFraction(),
                queryClass.ordered(),
                String.join(",", queryClass.engineKinds()) + ";",
                String.join(",", queryClass.zones()) + ";",
                queryClass.threads(),
                queryClass.locksTables(),
                queryClass.waitsForTableLocks());
    }

    private void capabilities(Capabilities capabilities) {
        line(
                "  allowed",
                capabilities.healthChecks(),
                capabilities.cancellation(),
                capabilities.maxAttempts(),
                capabilities.maxRetryAfterNs(),
                capabilities.memoryGrants(),
                capabilities.priorities(),
                capabilities.maxGrantFraction(),
                capabilities.queuesForMemory(),
                capabilities.progressIntervalNs(),
                capabilities.reportsCost(),
                capabilities.inlineLoadReports(),
                capabilities.endpointsMustBeWatched());
    }

    private void limits(PolicyLimits policyLimits) {
        line(
                "  limits",
                policyLimits.drainGraceNs(),
                policyLimits.slowStartFraction(),
                policyLimits.slowStartNs(),
                policyLimits.slowStartOverloadFactor(),
                policyLimits.slowStartWindowNs(),
                policyLimits.keyQuietPeriodNs(),
                policyLimits.freeRetries(),
                policyLimits.retriesPerQuery(),
                policyLimits.retryBudgetWindowNs());
    }
}
