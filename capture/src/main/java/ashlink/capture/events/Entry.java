package ashlink.capture.events;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Settings;
import java.util.List;

/** What a capture holds, in order. */
public sealed interface Entry {

    /** A module was made: its code by a hash, and its settings. All before is another module's. */
    record Start(String moduleHash, Settings settings, String router) implements Entry {}

    /** The module was told an event at that time, and did that. */
    record Step(Event event, long nowNs, List<Action> actions) implements Entry {}

    /**
     * So many entries are missing here; what follows cannot be decided again until the next start.
     */
    record Gap(long entries) implements Entry {}
}
