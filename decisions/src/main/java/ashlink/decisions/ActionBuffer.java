package ashlink.decisions;

import ashlink.decisions.api.Action;
import java.util.ArrayList;
import java.util.List;

/** Collects the actions decided during one event, in order. */
final class ActionBuffer {

    private List<Action> actions = new ArrayList<>();

    /**
     * Starts a new event with a new list; the list returned for the previous event is no longer
     * modified.
     */
    void startEvent() {
        actions = new ArrayList<>();
    }

    void add(Action action) {
        actions.add(action);
    }

    /** Returns the actions of the current event. */
    List<Action> actions() {
        return actions;
    }
}
