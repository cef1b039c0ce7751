package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Tells a fresh module all that a captured one was told, at the recorded times, and compares what
 * it does. Nothing but the capture decides: no clock, no thread, no chance. What follows a gap is
 * passed over until the next start.
 */
public final class Replay implements Consumer<Entry> {

    /** Where a replay first did otherwise. */
    public record Divergence(long entry, Entry.Step recorded, List<Action> replayed) {}

    private static final int SHOWN = 20;
    private final Function<Settings, WorkloadManager> module;
    private WorkloadManager gateway;
    private long entries;
    private long decided;
    private long passedOver;
    private long starts;
    private long differing;
    private boolean hashesDiffer;
    private final String hash;
    private final List<Divergence> divergences = new ArrayList<>();
    private long firstNs;
    private long lastNs;
    private long spanNs;

    /** A replay by a module of that hash. */
    public Replay(Function<Settings, WorkloadManager> module, String hash) {
        this.module = module;
        this.hash = hash;
    }

    @Override
    public void accept(Entry entry) {
        entries++;
        if (entry instanceof Entry.Start start) {
            gateway = module.apply(start.settings());
            starts++;
            hashesDiffer |= !start.moduleHash().equals(hash);
            spanNs += lastNs - firstNs;
            firstNs = 0;
            lastNs = 0;
        } else if (entry instanceof Entry.Gap) {
            gateway = null;
        } else if (entry instanceof Entry.Step s) {
            step(s);
        }
    }

    private void step(Entry.Step step) {
        if (gateway == null) {
            passedOver++;
            return;
        }
        firstNs = firstNs == 0 ? step.nowNs() : firstNs;
        lastNs = step.nowNs();
        List<Action> done = gateway.onEvent(step.event(), step.nowNs());
        decided++;
        if (!done.equals(step.actions())) {
            differing++;
            if (divergences.size() < SHOWN) {
                divergences.add(new Divergence(entries - 1, step, List.copyOf(done)));
            }
        }
    }

    /** Steps that were decided again. */
    public long decided() {
        return decided;
    }

    /** Steps after a gap, which cannot be. */
    public long passedOver() {
        return passedOver;
    }

    /** Modules that were made. */
    public long starts() {
        return starts;
    }

    /** Steps in which the replay did otherwise; after the first of them the rest is open loop. */
    public long differing() {
        return differing;
    }

    /** The first of those steps. */
    public List<Divergence> divergences() {
        return List.copyOf(divergences);
    }

    /** True if a captured module's code was another. */
    public boolean hashesDiffer() {
        return hashesDiffer;
    }

    /** Time from the first to the last step of each start, in nanoseconds. */
    public long spanNs() {
        return spanNs + lastNs - firstNs;
    }
}
