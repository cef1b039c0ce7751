package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Settings;
import java.util.List;

/** Entry of a capture; entries are stored in the order of their occurrence. */
public sealed interface Entry {

    /**
     * Creation of a decision module; the entries up to the next start belong to this module.
     *
     * @param moduleHash hash of the code of the module
     * @param settings settings of the module
     * @param router name of the router
     */
    record Start(String moduleHash, Settings settings, String router) implements Entry {}

    /**
     * Event handled by the module.
     *
     * @param event event passed to the module
     * @param nowNs time passed to the module, in nanoseconds
     * @param actions actions returned by the module
     */
    record Step(Event event, long nowNs, List<Action> actions) implements Entry {}

    /**
     * Range of missing entries; the entries between the gap and the next start cannot be replayed.
     *
     * @param entries number of missing entries, or 0 if unknown
     */
    record Gap(long entries) implements Entry {}
}
