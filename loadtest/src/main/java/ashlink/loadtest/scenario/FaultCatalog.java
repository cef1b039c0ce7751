package ashlink.loadtest.scenario;

import ashlink.config.ConfigException;
import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfigReader;
import ashlink.loadtest.fixture.TestSettings;
import java.util.List;

/** Scenarios with one kind of fault each, scaled to one machine. */
public final class FaultCatalog {

    /** Names of the scenarios, which are also the names of their resource files. */
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

    private FaultCatalog() {}

    /**
     * Returns the scenario of a name; {@code extraSettings} is appended to the settings of its
     * routers.
     */
    public static ScenarioConfig scenario(String name, String extraSettings)
            throws ConfigException {
        String scenarioText =
                TestSettings.resource("troubles/base.sexp")
                        .replace("NAME", name)
                        .replace("TROUBLES", TestSettings.resource("troubles/" + name + ".sexp"));
        ScenarioConfig scenarioConfig = ScenarioConfigReader.read(name, scenarioText);
        return scenarioConfig.with(
                scenarioConfig.seed(), scenarioConfig.httpFraction(), extraSettings);
    }
}
