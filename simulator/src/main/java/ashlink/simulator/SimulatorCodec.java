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
    static Endpoint entry(Fields f) {
        return new Endpoint(
                f.needed("engine"),
                phase(f.needed("phase")),
                f.text("zone", ""),
                f.text("sku", ""),
                f.whole("stripe", 0),
                f.whole("came-up-ns", 0));
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
    static EndpointsChanged news(Fields f, List<Endpoint> entries) {
        return switch (f.needed("form")) {
            case "all" -> new EndpointsChanged(EndpointListKind.SNAPSHOT, entries);
            case "changes" -> new EndpointsChanged(EndpointListKind.DELTA, entries);
            case "remembered" -> new EndpointsChanged(EndpointListKind.CACHED, entries);
            case "refused" -> new EndpointsChanged(EndpointListKind.UNAVAILABLE, List.of());
            default ->
                    throw new SimulatorProtocolException(
                            "ANNOUNCE: form=" + f.text("form") + " is unknown");
        };
    }

    /**
     * Reads any other event line for an instance; null for a message that is none of this gateway's
     * concern.
     */
    static Event event(String name, Fields f, boolean costInAnswers) {
        return switch (name) {
            case "INGRESS" ->
                    new QuerySubmitted(
                            f.whole("op-id"),
                            f.needed("class"),
                            f.text("relation"),
                            f.whole("data-group", 0),
                            f.whole("drop-dead-ns"),
                            f.whole("guess-ns", 0),
                            f.number("want-mb", 0),
                            f.text("tenant", ""));
            case "CLIENT_GONE" -> new ClientDisconnected(f.whole("op-id"));
            case "UPDATE_OF" ->
                    new AttemptProgress(
                            f.whole("op-id"),
                            (int) f.whole("shot", 0),
                            f.needed("engine"),
                            noteKind(f.whole("sort")),
                            f.number("amount", 0));
            case "FIRED" -> new TimerFired(f.whole("label"));
            case "RESOLVED" -> ended(f, costInAnswers);
            case "PONG" ->
                    new HealthCheckCompleted(
                            f.needed("engine"),
                            outcome(f.needed("verdict")),
                            f.whole("lag-ns", 0),
                            report(f.text("gauge")));
            default -> null;
        };
    }

    private static AttemptEnded ended(Fields f, boolean costInAnswers) {
        long note = costInAnswers ? f.whole("note", 0) : 0;
        return new AttemptEnded(
                f.whole("op-id"),
                (int) f.whole("shot", 0),
                f.needed("engine"),
                outcome(f.needed("verdict")),
                f.whole("lag-ns", 0),
                f.flag("complete"),
                note / NOTE_WORK_UNIT,
                (double) (note % NOTE_WORK_UNIT) * NOTE_MEMORY_MB,
                report(f.text("gauge")));
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
        if (action instanceof StartAttempt a) {
            line("FORWARD", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" timeout-ns=")
                    .append(a.timeoutNs())
                    .append(" engine=")
                    .append(a.engine());
        } else if (action instanceof SetAttemptResources a) {
            line("LIMITS_FOR", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" prio=")
                    .append(a.priority())
                    .append(" mem-mb=")
                    .append(a.memoryMb());
        } else if (action instanceof Reject a) {
            line("REFUSE", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" hold-off-ns=")
                    .append(a.retryAfterNs());
        } else if (action instanceof Fail a) {
            line("REPORT_FAILURE", instance, out).append(" op-id=").append(a.id());
        } else if (action instanceof CancelAttempt a) {
            line("CALL_OFF", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" shot=")
                    .append(a.attempt());
        } else if (action instanceof CheckHealth a) {
            line("PING", instance, out).append(" engine=").append(a.engine());
        } else if (action instanceof SetTimer a) {
            line("SET_ALARM", instance, out)
                    .append(" label=")
                    .append(a.label())
                    .append(" time-ns=")
                    .append(a.timeNs());
        } else if (action instanceof WatchEndpoints) {
            line("TAIL", instance, out).append(" enable=1");
        } else if (action instanceof Log a) {
            line("REMARK", instance, out).append(" reason-text=").append(a.text());
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
