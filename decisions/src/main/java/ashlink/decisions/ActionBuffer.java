package ashlink.decisions;

import ashlink.decisions.api.Action;
import java.util.ArrayList;
import java.util.List;

/** Collects the actions that are decided during one event, in order. */
final class ActionBuffer {

    private List<Action> actions = new ArrayList<>();

    /** Starts a new event; the list returned for the previous one is not touched any more. */
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
