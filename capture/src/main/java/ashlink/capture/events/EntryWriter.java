package ashlink.capture.events;

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

    private final Out out = new Out();
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
        if (event instanceof Request e) {
            out.put(1);
            id(e.id());
            out.text(e.queryClass());
            out.text(e.key() == null ? null : hideKey.apply(e.key()));
            out.signed(e.tables());
            out.signed(e.deadlineNs() - lastNs);
            out.signed(e.workNs());
            out.fraction(e.memoryMb());
            out.text(e.tenant());
        } else if (event instanceof Ended e) {
            out.put(2);
            id(e.id());
            out.whole(e.attempt());
            out.text(e.engine());
            out.put(e.outcome().ordinal());
            out.signed(e.tookNs());
            out.flag(e.over());
            out.fraction(e.workMs());
            out.fraction(e.memoryMb());
            report(e.report());
        } else if (event instanceof Alarm e) {
            out.put(3);
            out.signed(e.label());
        } else if (event instanceof Probed e) {
            out.put(4);
            out.text(e.engine());
            out.put(e.outcome().ordinal());
            out.signed(e.tookNs());
            report(e.report());
        } else if (event instanceof ListNews e) {
            out.put(5);
            out.put(e.form().ordinal());
            out.whole(e.entries().size());
            e.entries().forEach(this::listEntry);
        } else if (event instanceof ClientGone e) {
            out.put(6);
            id(e.id());
        } else if (event instanceof Progress e) {
            out.put(7);
            id(e.id());
            out.whole(e.attempt());
            out.text(e.engine());
            out.put(e.kind().ordinal());
            out.fraction(e.amount());
        }
    }

    private void report(Report r) {
        out.fraction(r.waiting());
        out.fraction(r.coresBusy());
        out.fraction(r.memoryGranted());
        out.fraction(r.disksBusy());
        out.fraction(r.inHand());
    }

    private void listEntry(ListEntry e) {
        out.text(e.engine());
        out.put(e.phase().ordinal());
        out.text(e.zone());
        out.text(e.kind());
        out.signed(e.cell());
        out.signed(e.startedNs());
    }

    // ---- Actions
    private void action(Action action) {
        if (action instanceof Send a) {
            out.put(1);
            id(a.id());
            out.text(a.engine());
            out.signed(a.timeoutNs());
        } else if (action instanceof Terms a) {
            out.put(2);
            id(a.id());
            out.signed(a.priority());
            out.signed(a.memoryMb());
        } else if (action instanceof Refuse a) {
            out.put(3);
            id(a.id());
            out.signed(a.retryAfterNs());
        } else if (action instanceof Fail a) {
            out.put(4);
            id(a.id());
        } else if (action instanceof Cancel a) {
            out.put(5);
            id(a.id());
            out.whole(a.attempt());
        } else if (action instanceof Probe a) {
            out.put(6);
            out.text(a.engine());
        } else if (action instanceof SetAlarm a) {
            out.put(7);
            out.signed(a.label());
            out.signed(a.timeNs() - lastNs);
        } else if (action instanceof Subscribe) {
            out.put(8);
        } else if (action instanceof Log a) {
            out.put(9);
            out.text(a.text());
        }
    }

    // ---- Settings
    private void settings(Settings s) {
        out.signed(s.seed());
        out.whole(s.gateways());
        out.whole(s.position());
        out.text(s.zone());
        out.whole(s.classes().size());
        s.classes().forEach(this::queryClass);
        out.whole(s.kinds().size());
        for (EngineKind k : s.kinds()) {
            out.text(k.name());
            out.whole(k.cores());
            out.fraction(k.memoryMb());
        }
        allowed(s.allowed());
        limits(s.limits());
        out.whole(s.tenants().size());
        for (Tenant t : s.tenants()) {
            out.text(t.name());
            out.fraction(t.quotaPerS());
        }
        out.fraction(s.overShareWorth());
    }

    private void queryClass(QueryClass c) {
        out.text(c.name());
        out.signed(c.aimNs());
        out.fraction(c.aimStretch());
        out.signed(c.deadlineNs());
        out.put(c.effect().ordinal());
        out.put(c.repeatGroup().ordinal());
        out.signed(c.repeatSpanNs());
        out.fraction(c.worth());
        out.fraction(c.lateShare());
        out.flag(c.inOrder());
        texts(c.kinds());
        texts(c.zones());
        out.whole(c.threads());
        out.flag(c.holdsTables());
        out.flag(c.waitsForTables());
    }

    private void texts(Set<String> texts) {
        out.whole(texts.size());
        texts.forEach(out::text);
    }

    private void allowed(Allowed a) {
        out.flag(a.probes());
        out.flag(a.cancels());
        out.whole(a.attempts());
        out.signed(a.longestRetryAfterNs());
        out.flag(a.grants());
        out.flag(a.priorities());
        out.fraction(a.largestGrant());
        out.flag(a.memoryQueues());
        out.signed(a.noteEveryNs());
        out.flag(a.costInAnswers());
        out.flag(a.reportsInline());
        out.flag(a.listMustBeAsked());
    }

    private void limits(Limits l) {
        out.signed(l.drainGraceNs());
        out.fraction(l.coldFrom());
        out.signed(l.coldNs());
        out.fraction(l.coldMultiple());
        out.signed(l.coldWindowNs());
        out.signed(l.keyRestNs());
        out.fraction(l.freeResends());
        out.fraction(l.resendsPerRequest());
        out.signed(l.budgetSpanNs());
    }
}
