package ashlink.drill;

import ashlink.Gateway.Action;
import ashlink.Gateway.Alarm;
import ashlink.Gateway.Cancel;
import ashlink.Gateway.ClientGone;
import ashlink.Gateway.Ended;
import ashlink.Gateway.Event;
import ashlink.Gateway.Fail;
import ashlink.Gateway.ListEntry;
import ashlink.Gateway.ListForm;
import ashlink.Gateway.ListNews;
import ashlink.Gateway.Log;
import ashlink.Gateway.NoteKind;
import ashlink.Gateway.Outcome;
import ashlink.Gateway.Phase;
import ashlink.Gateway.Probe;
import ashlink.Gateway.Probed;
import ashlink.Gateway.Progress;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.Gateway.SetAlarm;
import ashlink.Gateway.Subscribe;
import ashlink.Gateway.Terms;
import ashlink.config.flat.Fields;
import ashlink.config.flat.ReportReader;
import java.util.List;

/** Turns lines of the wire into events and actions into lines; it decides nothing. */
final class Codec {

    private static final int NOTE_WORK_UNIT = 4096;
    private static final int NOTE_MEMORY_MB = 4;

    private Codec() {}

    /** Reads an {@code M} line. */
    static ListEntry entry(Fields f) {
        return new ListEntry(
                f.needed("engine"),
                phase(f.needed("phase")),
                f.text("zone", ""),
                f.text("sku", ""),
                f.whole("stripe", 0),
                f.whole("came-up-ns", 0));
    }

    private static Phase phase(String text) {
        return switch (text) {
            case "ready" -> Phase.READY;
            case "draining" -> Phase.DRAINING;
            case "gone" -> Phase.GONE;
            default -> throw new WireException("M: phase=" + text + " is unknown");
        };
    }

    /** Reads an {@code ANNOUNCE} line; {@code entries} are those of the list that it names. */
    static ListNews news(Fields f, List<ListEntry> entries) {
        return switch (f.needed("form")) {
            case "all" -> new ListNews(ListForm.WHOLE, entries);
            case "changes" -> new ListNews(ListForm.CHANGES, entries);
            case "remembered" -> new ListNews(ListForm.REMEMBERED, entries);
            case "refused" -> new ListNews(ListForm.REFUSED, List.of());
            default -> throw new WireException("ANNOUNCE: form=" + f.text("form") + " is unknown");
        };
    }

    /**
     * Reads any other event line for an instance; null for a message that is none of this gateway's
     * concern.
     */
    static Event event(String name, Fields f, boolean costInAnswers) {
        return switch (name) {
            case "INGRESS" ->
                    new Request(
                            f.whole("op-id"),
                            f.needed("class"),
                            f.text("relation"),
                            f.whole("data-group", 0),
                            f.whole("drop-dead-ns"),
                            f.whole("guess-ns", 0),
                            f.number("want-mb", 0),
                            f.text("tenant", ""));
            case "CLIENT_GONE" -> new ClientGone(f.whole("op-id"));
            case "UPDATE_OF" ->
                    new Progress(
                            f.whole("op-id"),
                            (int) f.whole("shot", 0),
                            f.needed("engine"),
                            noteKind(f.whole("sort")),
                            f.number("amount", 0));
            case "FIRED" -> new Alarm(f.whole("label"));
            case "RESOLVED" -> ended(f, costInAnswers);
            case "PONG" ->
                    new Probed(
                            f.needed("engine"),
                            outcome(f.needed("verdict")),
                            f.whole("lag-ns", 0),
                            report(f.text("gauge")));
            default -> null;
        };
    }

    private static Ended ended(Fields f, boolean costInAnswers) {
        long note = costInAnswers ? f.whole("note", 0) : 0;
        return new Ended(
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

    private static NoteKind noteKind(long sort) {
        return switch ((int) sort) {
            case 1 -> NoteKind.SHARE_DONE;
            case 2 -> NoteKind.SPILLS_MB;
            case 3 -> NoteKind.WAITS;
            default -> throw new WireException("UPDATE_OF: sort=" + sort + " is unknown");
        };
    }

    private static Outcome outcome(String text) {
        return switch (text) {
            case "delivered" -> Outcome.SERVED;
            case "app_error" -> Outcome.ERROR;
            case "shed" -> Outcome.TURNED_AWAY;
            case "expired" -> Outcome.TIMED_OUT;
            case "dial_failed" -> Outcome.NO_CONNECTION;
            case "dropped" -> Outcome.RESET;
            case "revoked" -> Outcome.CANCELLED;
            case "unused" -> Outcome.NEVER_SENT;
            default -> throw new WireException("verdict=" + text + " is unknown");
        };
    }

    /** Reads a load report, skipping values it does not know. */
    static Report report(String text) {
        if (text == null || text.isEmpty() || text.equals("-")) {
            return Report.NONE;
        }
        return ReportReader.read(
                text,
                ',',
                pair -> {
                    throw new WireException(
                            "gauge: '" + pair + "' is no name:value pair with a number");
                });
    }

    /** Appends the line of an action of that instance. */
    static void write(long instance, Action action, StringBuilder out) {
        if (action instanceof Send a) {
            line("FORWARD", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" timeout-ns=")
                    .append(a.timeoutNs())
                    .append(" engine=")
                    .append(a.engine());
        } else if (action instanceof Terms a) {
            line("LIMITS_FOR", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" prio=")
                    .append(a.priority())
                    .append(" mem-mb=")
                    .append(a.memoryMb());
        } else if (action instanceof Refuse a) {
            line("REFUSE", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" hold-off-ns=")
                    .append(a.retryAfterNs());
        } else if (action instanceof Fail a) {
            line("REPORT_FAILURE", instance, out).append(" op-id=").append(a.id());
        } else if (action instanceof Cancel a) {
            line("CALL_OFF", instance, out)
                    .append(" op-id=")
                    .append(a.id())
                    .append(" shot=")
                    .append(a.attempt());
        } else if (action instanceof Probe a) {
            line("PING", instance, out).append(" engine=").append(a.engine());
        } else if (action instanceof SetAlarm a) {
            line("SET_ALARM", instance, out)
                    .append(" label=")
                    .append(a.label())
                    .append(" time-ns=")
                    .append(a.timeNs());
        } else if (action instanceof Subscribe) {
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
