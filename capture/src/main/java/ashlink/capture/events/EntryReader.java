package ashlink.capture.events;

import ashlink.Gateway.Action;
import ashlink.Gateway.Alarm;
import ashlink.Gateway.Allowed;
import ashlink.Gateway.Cancel;
import ashlink.Gateway.ClientGone;
import ashlink.Gateway.Effect;
import ashlink.Gateway.Ended;
import ashlink.Gateway.EngineKind;
import ashlink.Gateway.Event;
import ashlink.Gateway.Fail;
import ashlink.Gateway.Limits;
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
import ashlink.Gateway.QueryClass;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.RepeatGroup;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.Gateway.SetAlarm;
import ashlink.Gateway.Settings;
import ashlink.Gateway.Subscribe;
import ashlink.Gateway.Tenant;
import ashlink.Gateway.Terms;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Turns the bytes of {@link EntryWriter} into entries again. */
public final class EntryReader {

    private static final int MOST = 1 << 20;
    private final In in = new In();
    private long lastNs;
    private long lastId;

    /** A new segment begins: nothing that was said before counts. */
    public void startSegment() {
        in.forget();
        lastNs = 0;
        lastId = 0;
    }

    /** Reads the entries of a frame. */
    public void read(byte[] frame, Consumer<Entry> to) throws IOException {
        in.frame(frame);
        while (in.more()) {
            int form = in.get();
            switch (form) {
                case EntryWriter.START -> {
                    String hash = in.text();
                    String router = in.text();
                    to.accept(new Entry.Start(hash, settings(), router));
                }
                case EntryWriter.STEP -> to.accept(step());
                case EntryWriter.GAP -> to.accept(new Entry.Gap(in.whole()));
                default -> throw new IOException("an entry of form " + form + " is unknown");
            }
        }
    }

    private Entry.Step step() throws IOException {
        lastNs += in.signed();
        long now = lastNs;
        Event event = event();
        List<Action> actions = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            actions.add(action());
        }
        return new Entry.Step(event, now, actions);
    }

    private long id() throws IOException {
        lastId += in.signed();
        return lastId;
    }

    private Event event() throws IOException {
        int form = in.get();
        return switch (form) {
            case 1 ->
                    new Request(
                            id(),
                            in.text(),
                            in.text(),
                            in.signed(),
                            in.signed() + lastNs,
                            in.signed(),
                            in.fraction(),
                            in.text());
            case 2 ->
                    new Ended(
                            id(),
                            in.count(MOST),
                            in.text(),
                            in.choice(Outcome.values()),
                            in.signed(),
                            in.flag(),
                            in.fraction(),
                            in.fraction(),
                            report());
            case 3 -> new Alarm(in.signed());
            case 4 -> new Probed(in.text(), in.choice(Outcome.values()), in.signed(), report());
            case 5 -> news();
            case 6 -> new ClientGone(id());
            case 7 ->
                    new Progress(
                            id(),
                            in.count(MOST),
                            in.text(),
                            in.choice(NoteKind.values()),
                            in.fraction());
            default -> throw new IOException("an event of form " + form + " is unknown");
        };
    }

    private Report report() throws IOException {
        return new Report(
                in.fraction(), in.fraction(), in.fraction(), in.fraction(), in.fraction());
    }

    private ListNews news() throws IOException {
        ListForm form = in.choice(ListForm.values());
        List<ListEntry> entries = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            entries.add(
                    new ListEntry(
                            in.text(),
                            in.choice(Phase.values()),
                            in.text(),
                            in.text(),
                            in.signed(),
                            in.signed()));
        }
        return new ListNews(form, entries);
    }

    private Action action() throws IOException {
        int form = in.get();
        return switch (form) {
            case 1 -> new Send(id(), in.text(), in.signed());
            case 2 -> new Terms(id(), (int) in.signed(), in.signed());
            case 3 -> new Refuse(id(), in.signed());
            case 4 -> new Fail(id());
            case 5 -> new Cancel(id(), in.count(MOST));
            case 6 -> new Probe(in.text());
            case 7 -> new SetAlarm(in.signed(), in.signed() + lastNs);
            case 8 -> new Subscribe();
            case 9 -> new Log(in.text());
            default -> throw new IOException("an action of form " + form + " is unknown");
        };
    }

    private Settings settings() throws IOException {
        long seed = in.signed();
        int gateways = in.count(Integer.MAX_VALUE);
        int position = in.count(Integer.MAX_VALUE);
        String zone = in.text();
        List<QueryClass> classes = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            classes.add(
                    new QueryClass(
                            in.text(),
                            in.signed(),
                            in.fraction(),
                            in.signed(),
                            in.choice(Effect.values()),
                            in.choice(RepeatGroup.values()),
                            in.signed(),
                            in.fraction(),
                            in.fraction(),
                            in.flag(),
                            texts(),
                            texts(),
                            in.count(MOST),
                            in.flag(),
                            in.flag()));
        }
        List<EngineKind> kinds = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            kinds.add(new EngineKind(in.text(), in.count(MOST), in.fraction()));
        }
        Allowed allowed =
                new Allowed(
                        in.flag(),
                        in.flag(),
                        in.count(MOST),
                        in.signed(),
                        in.flag(),
                        in.flag(),
                        in.fraction(),
                        in.flag(),
                        in.signed(),
                        in.flag(),
                        in.flag(),
                        in.flag());
        Limits limits =
                new Limits(
                        in.signed(),
                        in.fraction(),
                        in.signed(),
                        in.fraction(),
                        in.signed(),
                        in.signed(),
                        in.fraction(),
                        in.fraction(),
                        in.signed());
        List<Tenant> tenants = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            tenants.add(new Tenant(in.text(), in.fraction()));
        }
        return new Settings(
                seed,
                gateways,
                position,
                zone,
                classes,
                kinds,
                allowed,
                limits,
                tenants,
                in.fraction());
    }

    private Set<String> texts() throws IOException {
        Set<String> texts = new LinkedHashSet<>();
        for (int n = in.count(MOST); n > 0; n--) {
            texts.add(in.text());
        }
        return texts;
    }
}
