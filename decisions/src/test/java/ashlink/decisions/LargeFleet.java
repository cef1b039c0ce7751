package ashlink.decisions;

import static ashlink.decisions.RouterHarness.LIMITS;
import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.RouterHarness.reportClass;
import static ashlink.decisions.RouterHarness.shortClass;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.Settings;
import java.util.List;
import java.util.Set;

/**
 * Creates routers of a large fleet: each router receives a few queries per second and has less than
 * one thread per engine.
 */
final class LargeFleet {

    static final int ROUTERS = 200;
    static final Capabilities WITHOUT_PRIORITIES =
            new Capabilities(
                    true,
                    true,
                    4,
                    500 * MS,
                    true,
                    false,
                    0.4,
                    true,
                    1_000 * MS,
                    false,
                    false,
                    false);

    static Settings settings(
            int routers, int position, Capabilities capabilities, PolicyLimits limits) {
        return new Settings(
                7 + position,
                routers,
                position,
                "z1",
                List.of(shortClass("lookup"), reportClass(Set.of(), Set.of())),
                List.of(new EngineKind("big", 8, 8_000)),
                capabilities,
                limits);
    }

    static String[] engineNames(int engines) {
        String[] names = new String[engines];
        for (int i = 0; i < engines; i++) {
            names[i] = "e" + i;
        }
        return names;
    }

    static RouterHarness router(int routers, int position, int engines) {
        return new RouterHarness(settings(routers, position, WITHOUT_PRIORITIES, LIMITS))
                .withEngines(engineNames(engines));
    }
}
