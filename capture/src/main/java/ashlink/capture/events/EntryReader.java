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
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
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
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.ProgressKind;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** Turns the bytes of {@link EntryWriter} into entries again. */
public final class EntryReader {

    private static final int MOST = 1 << 20;
    private final EventDecoder in = new EventDecoder();
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
                    new QuerySubmitted(
                            id(),
                            in.text(),
                            in.text(),
                            in.signed(),
                            in.signed() + lastNs,
                            in.signed(),
                            in.fraction(),
                            in.text());
            case 2 ->
                    new AttemptEnded(
                            id(),
                            in.count(MOST),
                            in.text(),
                            in.choice(Outcome.values()),
                            in.signed(),
                            in.flag(),
                            in.fraction(),
                            in.fraction(),
                            report());
            case 3 -> new TimerFired(in.signed());
            case 4 ->
                    new HealthCheckCompleted(
                            in.text(), in.choice(Outcome.values()), in.signed(), report());
            case 5 -> news();
            case 6 -> new ClientDisconnected(id());
            case 7 ->
                    new AttemptProgress(
                            id(),
                            in.count(MOST),
                            in.text(),
                            in.choice(ProgressKind.values()),
                            in.fraction());
            default -> throw new IOException("an event of form " + form + " is unknown");
        };
    }

    private LoadReport report() throws IOException {
        return new LoadReport(
                in.fraction(), in.fraction(), in.fraction(), in.fraction(), in.fraction());
    }

    private EndpointsChanged news() throws IOException {
        EndpointListKind form = in.choice(EndpointListKind.values());
        List<Endpoint> entries = new ArrayList<>();
        for (int n = in.count(MOST); n > 0; n--) {
            entries.add(
                    new Endpoint(
                            in.text(),
                            in.choice(EndpointState.values()),
                            in.text(),
                            in.text(),
                            in.signed(),
                            in.signed()));
        }
        return new EndpointsChanged(form, entries);
    }

    private Action action() throws IOException {
        int form = in.get();
        return switch (form) {
            case 1 -> new StartAttempt(id(), in.text(), in.signed());
            case 2 -> new SetAttemptResources(id(), (int) in.signed(), in.signed());
            case 3 -> new Reject(id(), in.signed());
            case 4 -> new Fail(id());
            case 5 -> new CancelAttempt(id(), in.count(MOST));
            case 6 -> new CheckHealth(in.text());
            case 7 -> new SetTimer(in.signed(), in.signed() + lastNs);
            case 8 -> new WatchEndpoints();
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
                            in.choice(RetrySafety.values()),
                            in.choice(DeduplicationScope.values()),
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
        Capabilities allowed =
                new Capabilities(
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
        PolicyLimits limits =
                new PolicyLimits(
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
