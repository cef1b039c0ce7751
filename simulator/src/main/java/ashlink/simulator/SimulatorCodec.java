package ashlink.simulator;

import ashlink.config.flat.Fields;
import ashlink.config.flat.LoadReportParser;
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
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.util.List;

/** Turns lines of the wire into events and actions into lines; it decides nothing. */
final class SimulatorCodec {

    private static final int NOTE_WORK_UNIT = 4096;
    private static final int NOTE_MEMORY_MB = 4;

    private SimulatorCodec() {}

    /** Reads an {@code M} line. */
    static Endpoint entry(Fields fields) {
        return new Endpoint(
                fields.needed("engine"),
                phase(fields.needed("phase")),
                fields.text("zone", ""),
                fields.text("sku", ""),
                fields.whole("stripe", 0),
                fields.whole("came-up-ns", 0));
    }

    private static EndpointState phase(String text) {
        return switch (text) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default -> throw new SimulatorProtocolException("M: phase=" + text + " is unknown");
        };
    }

    /** Reads an {@code ANNOUNCE} line; {@code entries} are those of the list that it names. */
    static EndpointsChanged news(Fields fields, List<Endpoint> entries) {
        return switch (fields.needed("form")) {
            case "all" -> new EndpointsChanged(EndpointListKind.SNAPSHOT, entries);
            case "changes" -> new EndpointsChanged(EndpointListKind.DELTA, entries);
            case "remembered" -> new EndpointsChanged(EndpointListKind.CACHED, entries);
            case "refused" -> new EndpointsChanged(EndpointListKind.UNAVAILABLE, List.of());
            default ->
                    throw new SimulatorProtocolException(
                            "ANNOUNCE: form=" + fields.text("form") + " is unknown");
        };
    }

    /**
     * Reads any other event line for an instance; null for a message that is none of this gateway's
     * concern.
     */
    static Event event(String name, Fields fields, boolean costInAnswers) {
        return switch (name) {
            case "INGRESS" ->
                    new QuerySubmitted(
                            fields.whole("op-id"),
                            fields.needed("class"),
                            fields.text("relation"),
                            fields.whole("data-group", 0),
                            fields.whole("drop-dead-ns"),
                            fields.whole("guess-ns", 0),
                            fields.number("want-mb", 0),
                            fields.text("tenant", ""));
            case "CLIENT_GONE" -> new ClientDisconnected(fields.whole("op-id"));
            case "UPDATE_OF" ->
                    new AttemptProgress(
                            fields.whole("op-id"),
                            (int) fields.whole("shot", 0),
                            fields.needed("engine"),
                            noteKind(fields.whole("sort")),
                            fields.number("amount", 0));
            case "FIRED" -> new TimerFired(fields.whole("label"));
            case "RESOLVED" -> ended(fields, costInAnswers);
            case "PONG" ->
                    new HealthCheckCompleted(
                            fields.needed("engine"),
                            outcome(fields.needed("verdict")),
                            fields.whole("lag-ns", 0),
                            report(fields.text("gauge")));
            default -> null;
        };
    }

    private static AttemptEnded ended(Fields fields, boolean costInAnswers) {
        long note = costInAnswers ? fields.whole("note", 0) : 0;
        return new AttemptEnded(
                fields.whole("op-id"),
                (int) fields.whole("shot", 0),
                fields.needed("engine"),
                outcome(fields.needed("verdict")),
                fields.whole("lag-ns", 0),
                fields.flag("complete"),
                note / NOTE_WORK_UNIT,
                (double) (note % NOTE_WORK_UNIT) * NOTE_MEMORY_MB,
                report(fields.text("gauge")));
    }

    private static ProgressKind noteKind(long sort) {
        return switch ((int) sort) {
            case 1 -> ProgressKind.FRACTION_DONE;
            case 2 -> ProgressKind.SPILLED_MB;
            case 3 -> ProgressKind.WAITING;
            default ->
                    throw new SimulatorProtocolException("UPDATE_OF: sort=" + sort + " is unknown");
        };
    }

    private static Outcome outcome(String text) {
        return switch (text) {
            case "delivered" -> Outcome.SERVED;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.REJECTED;
            case "expired" -> Outcome.TIMED_OUT;
            case "dial_failed" -> Outcome.CONNECT_FAILED;
            case "dropped" -> Outcome.RESET;
            case "revoked" -> Outcome.CANCELLED;
            case "unused" -> Outcome.NOT_SENT;
            default -> throw new SimulatorProtocolException("verdict=" + text + " is unknown");
        };
    }

    /** Reads a load report, skipping values it does not know. */
    static LoadReport report(String text) {
        if (text == null || text.isEmpty() || text.equals("-")) {
            return LoadReport.NONE;
        }
        return LoadReportParser.read(
                text,
                ',',
                pair -> {
                    throw new SimulatorProtocolException(
                            "gauge: '" + pair + "' is no name:value pair with a number");
                });
    }

    /** Appends the line of an action of that instance. */
    static void write(long instance, Action action, StringBuilder out) {
        if (action instanceof StartAttempt startAttempt) {
            line("FORWARD", instance, out)
                    .append(" op-id=")
                    .append(startAttempt.id())
                    .append(" timeout-ns=")
                    .append(startAttempt.timeoutNs())
                    .append(" engine=")
                    .append(startAttempt.engine());
        } else if (action instanceof SetAttemptResources resources) {
            line("LIMITS_FOR", instance, out)
                    .append(" op-id=")
                    .append(resources.id())
                    .append(" prio=")
                    .append(resources.priority())
                    .append(" mem-mb=")
                    .append(resources.memoryMb());
        } else if (action instanceof Reject reject) {
            line("REFUSE", instance, out)
                    .append(" op-id=")
                    .append(reject.id())
                    .append(" hold-off-ns=")
                    .append(reject.retryAfterNs());
        } else if (action instanceof Fail fail) {
            line("REPORT_FAILURE", instance, out).append(" op-id=").append(fail.id());
        } else if (action instanceof CancelAttempt cancelAttempt) {
            line("CALL_OFF", instance, out)
                    .append(" op-id=")
                    .append(cancelAttempt.id())
                    .append(" shot=")
                    .append(cancelAttempt.attempt());
        } else if (action instanceof CheckHealth checkHealth) {
            line("PING", instance, out).append(" engine=").append(checkHealth.engine());
        } else if (action instanceof SetTimer setTimer) {
            line("SET_ALARM", instance, out)
                    .append(" label=")
                    .append(setTimer.label())
                    .append(" time-ns=")
                    .append(setTimer.timeNs());
        } else if (action instanceof WatchEndpoints) {
            line("TAIL", instance, out).append(" enable=1");
        } else if (action instanceof Log log) {
            line("REMARK", instance, out).append(" reason-text=").append(log.text());
        }
        out.append('\n');
    }

    /** Appends the line that declares the decision code of that instance broken. */
    static void writeBroken(long instance, String reason, StringBuilder out) {
        line("BAIL_OUT", instance, out).append(" reason-text=").append(reason).append('\n');
    }

    private static StringBuilder line(String name, long instance, StringBuilder out) {
        return out.append(name).append(" router-id=").append(instance);
    }
}
