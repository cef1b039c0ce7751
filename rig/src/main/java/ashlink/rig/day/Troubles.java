package ashlink.rig.day;

import ashlink.config.ConfigException;
import ashlink.config.DayConfig;
import ashlink.config.DayConfigReader;
import ashlink.rig.fleet.BriefSettings;
import java.util.List;

/** Days of one kind of trouble each, as the operators' pages name them, scaled to one machine. */
public final class Troubles {

    /** Their names. */
    public static final List<String> NAMES =
            List.of(
                    "crash",
                    "hang",
                    "slow",
                    "ageing",
                    "shared-slow",
                    "hall-lost",
                    "router-crash",
                    "rolling-restart",
                    "deploy",
                    "preempt",
                    "burst",
                    "hot-group",
                    "hot-caller",
                    "heavy-tail",
                    "neighbour",
                    "lost-answers",
                    "refused-connects",
                    "shift",
                    "list-late");

    private Troubles() {}

    /** The day of that name; {@code more} is further settings of its routers. */
    public static DayConfig day(String name, String more) throws ConfigException {
        String text =
                BriefSettings.resource("troubles/base.sexp")
                        .replace("NAME", name)
                        .replace("TROUBLES", BriefSettings.resource("troubles/" + name + ".sexp"));
        DayConfig d = DayConfigReader.read(name, text);
        return d.with(d.seed(), d.httpShare(), more);
    }
}
