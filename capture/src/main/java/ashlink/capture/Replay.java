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
 * Replays a capture: passes the recorded events and times to a new decision module and compares the
 * actions of the module with the recorded actions. The actions of a decision module depend only on
 * its settings, events and times. Steps after a gap are skipped until the next start. Not
 * thread-safe.
 */
public final class Replay implements Consumer<Entry> {

    private static final int MAX_DIVERGENCES = 20;

    /**
     * Step whose replayed actions differ from the recorded actions.
     *
     * @param entry index of the entry in the capture, from 0
     * @param recorded recorded step
     * @param replayed actions of the replayed module
     */
    public record Divergence(long entry, Entry.Step recorded, List<Action> replayed) {}

    private final Function<Settings, WorkloadManager> moduleFactory;
    private final String moduleHash;
    private final List<Divergence> divergences = new ArrayList<>();

    /** Null before the first start and after a gap. */
    private WorkloadManager module;

    private long entries;
    private long starts;
    private long replayedSteps;
    private long skippedSteps;
    private long divergentSteps;
    private boolean hashesDiffer;
    private long firstStepNs;
    private long lastStepNs;
    private long earlierStartsSpanNs;

    /**
     * Creates a replay.
     *
     * @param moduleFactory factory of the decision module that handles the recorded events
     * @param moduleHash hash of the code of this module, see {@link ModuleHash}
     */
    public Replay(Function<Settings, WorkloadManager> moduleFactory, String moduleHash) {
        this.moduleFactory = moduleFactory;
        this.moduleHash = moduleHash;
    }

    @Override
    public void accept(Entry entry) {
        entries++;
        if (entry instanceof Entry.Start start) {
            handleStart(start);
        } else if (entry instanceof Entry.Gap) {
            module = null;
        } else if (entry instanceof Entry.Step step) {
            replayStep(step);
        }
    }

    private void handleStart(Entry.Start start) {
        module = moduleFactory.apply(start.settings());
        starts++;
        hashesDiffer |= !start.moduleHash().equals(moduleHash);
        earlierStartsSpanNs += lastStepNs - firstStepNs;
        firstStepNs = 0;
        lastStepNs = 0;
    }

    private void replayStep(Entry.Step step) {
        if (module == null) {
            skippedSteps++;
            return;
        }
        firstStepNs = firstStepNs == 0 ? step.nowNs() : firstStepNs;
        lastStepNs = step.nowNs();
        List<Action> actions = module.onEvent(step.event(), step.nowNs());
        replayedSteps++;
        if (!actions.equals(step.actions())) {
            divergentSteps++;
            if (divergences.size() < MAX_DIVERGENCES) {
                divergences.add(new Divergence(entries - 1, step, List.copyOf(actions)));
            }
        }
    }

    /** Returns the number of replayed steps. */
    public long replayedSteps() {
        return replayedSteps;
    }

    /** Returns the number of steps that were skipped because they follow a gap. */
    public long skippedSteps() {
        return skippedSteps;
    }

    /** Returns the number of starts, each of which created a decision module. */
    public long starts() {
        return starts;
    }

    /**
     * Returns the number of steps whose replayed actions differ from the recorded actions. After
     * the first such step, the recorded events are no longer the events that the replayed actions
     * would have caused.
     */
    public long divergentSteps() {
        return divergentSteps;
    }

    /** Returns the first divergences, up to a fixed limit. */
    public List<Divergence> divergences() {
        return List.copyOf(divergences);
    }

    /** Returns whether any start of the capture was recorded with different module code. */
    public boolean hashesDiffer() {
        return hashesDiffer;
    }

    /** Returns the time from the first to the last step, summed over all starts. */
    public long spanNs() {
        return earlierStartsSpanNs + lastStepNs - firstStepNs;
    }
}
