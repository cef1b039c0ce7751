package ashlink.capture;

import ashlink.Gateway.Action;
import ashlink.Gateway.Alarm;
import ashlink.Gateway.Allowed;
import ashlink.Gateway.Cancel;
import ashlink.Gateway.ClientGone;
import ashlink.Gateway.Ended;
import ashlink.Gateway.EngineKind;
import ashlink.Gateway.Event;
import ashlink.Gateway.Fail;
import ashlink.Gateway.Limits;
import ashlink.Gateway.ListEntry;
import ashlink.Gateway.ListNews;
import ashlink.Gateway.Log;
import ashlink.Gateway.Probe;
import ashlink.Gateway.Probed;
import ashlink.Gateway.Progress;
import ashlink.Gateway.QueryClass;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.Gateway.SetAlarm;
import ashlink.Gateway.Settings;
import ashlink.Gateway.Subscribe;
import ashlink.Gateway.Tenant;
import ashlink.Gateway.Terms;
import ashlink.capture.events.Entry;
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
        if (event instanceof Request e) {
            line(
                    "  request",
                    e.id(),
                    e.queryClass(),
                    e.key(),
                    e.tables(),
                    e.deadlineNs(),
                    e.workNs(),
                    e.memoryMb(),
                    e.tenant());
        } else if (event instanceof Ended e) {
            line(
                    "  ended",
                    e.id(),
                    e.attempt(),
                    e.engine(),
                    e.outcome().ordinal(),
                    e.tookNs(),
                    e.over(),
                    e.workMs(),
                    e.memoryMb(),
                    report(e.report()));
        } else if (event instanceof Alarm e) {
            line("  alarm", e.label());
        } else if (event instanceof Probed e) {
            line("  probed", e.engine(), e.outcome().ordinal(), e.tookNs(), report(e.report()));
        } else if (event instanceof ListNews e) {
            line("  list", e.form().ordinal(), e.entries().size());
            e.entries().forEach(this::listEntry);
        } else if (event instanceof ClientGone e) {
            line("  gone", e.id());
        } else if (event instanceof Progress e) {
            line("  progress", e.id(), e.attempt(), e.engine(), e.kind().ordinal(), e.amount());
        } else {
            throw new AssertionError("an event that has no text: " + event);
        }
    }

    private static String report(Report r) {
        return "("
                + r.waiting()
                + " "
                + r.coresBusy()
                + " "
                + r.memoryGranted()
                + " "
                + r.disksBusy()
                + " "
                + r.inHand()
                + ")";
    }

    private void listEntry(ListEntry e) {
        line(
                "    engine",
                e.engine(),
                e.phase().ordinal(),
                e.zone(),
                e.kind(),
                e.cell(),
                e.startedNs());
    }

    // ---- Actions
    private void action(Action action) {
        if (action instanceof Send a) {
            line("  > send", a.id(), a.engine(), a.timeoutNs());
        } else if (action instanceof Terms a) {
            line("  > terms", a.id(), a.priority(), a.memoryMb());
        } else if (action instanceof Refuse a) {
            line("  > refuse", a.id(), a.retryAfterNs());
        } else if (action instanceof Fail a) {
            line("  > fail", a.id());
        } else if (action instanceof Cancel a) {
            line("  > cancel", a.id(), a.attempt());
        } else if (action instanceof Probe a) {
            line("  > probe", a.engine());
        } else if (action instanceof SetAlarm a) {
            line("  > set-alarm", a.label(), a.timeNs());
        } else if (action instanceof Subscribe) {
            line("  > subscribe");
        } else if (action instanceof Log a) {
            line("  > log", a.text());
        } else {
            throw new AssertionError("an action that has no text: " + action);
        }
    }

    // ---- Settings
    private void settings(Settings s) {
        line("  settings", s.seed(), s.gateways(), s.position(), s.zone(), s.overShareWorth());
        s.classes().forEach(this::queryClass);
        for (EngineKind kind : s.kinds()) {
            line("  kind", kind.name(), kind.cores(), kind.memoryMb());
        }
        allowed(s.allowed());
        limits(s.limits());
        for (Tenant tenant : s.tenants()) {
            line("  tenant", tenant.name(), tenant.quotaPerS());
        }
    }

    private void queryClass(QueryClass c) {
        line(
                "  class",
                c.name(),
                c.aimNs(),
                c.aimStretch(),
                c.deadlineNs(),
                c.effect().ordinal(),
                c.repeatGroup().ordinal(),
                c.repeatSpanNs(),
                c.worth(),
                c.lateShare(),
                c.inOrder(),
                String.join(",", c.kinds()) + ";",
                String.join(",", c.zones()) + ";",
                c.threads(),
                c.holdsTables(),
                c.waitsForTables());
    }

    private void allowed(Allowed a) {
        line(
                "  allowed",
                a.probes(),
                a.cancels(),
                a.attempts(),
                a.longestRetryAfterNs(),
                a.grants(),
                a.priorities(),
                a.largestGrant(),
                a.memoryQueues(),
                a.noteEveryNs(),
                a.costInAnswers(),
                a.reportsInline(),
                a.listMustBeAsked());
    }

    private void limits(Limits l) {
        line(
                "  limits",
                l.drainGraceNs(),
                l.coldFrom(),
                l.coldNs(),
                l.coldMultiple(),
                l.coldWindowNs(),
                l.keyRestNs(),
                l.freeResends(),
                l.resendsPerRequest(),
                l.budgetSpanNs());
    }
}
