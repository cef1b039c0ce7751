package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Settings;
import java.util.List;

/** An entry of a capture; entries are in the order in which they happened. */
public sealed interface Entry {

    /**
     * A decision module was created; the entries that follow are its own.
     *
     * @param moduleHash hash of its code
     * @param router name of its router
     */
    record Start(String moduleHash, Settings settings, String router) implements Entry {}

    /** The module handled an event at a time, and returned those actions. */
    record Step(Event event, long nowNs, List<Action> actions) implements Entry {}

    /**
     * Entries are missing; those that follow cannot be replayed until the next start.
     *
     * @param entries number of missing entries; 0 if unknown
     */
    record Gap(long entries) implements Entry {}
}
