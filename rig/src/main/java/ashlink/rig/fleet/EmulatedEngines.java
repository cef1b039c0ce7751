package ashlink.rig.fleet;

import ashlink.config.EngineConfig;
import ashlink.standin.EmulatedEngine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Makes stand-in engines on loopback. */
public final class EmulatedEngines {

    private static final long S = 1_000_000_000L;

    private EmulatedEngines() {}

    /** An engine as the brief tells of them, started and warm. */
    public static EmulatedEngine start(String name, String zone, String kind, int cores, long seed)
            throws IOException {
        EmulatedEngine e =
                new EmulatedEngine(
                        new EngineConfig(
                                name,
                                new InetSocketAddress("127.0.0.1", 0),
                                zone,
                                kind,
                                cores,
                                16 << 10,
                                1,
                                1.7,
                                0.35,
                                2,
                                false,
                                0.6,
                                0.35,
                                14 * S,
                                2.5,
                                3 * S,
                                false,
                                8 * cores,
                                seed,
                                null));
        e.start();
        return e;
    }

    /** The three engines of the demo, in two halls. */
    public static List<EmulatedEngine> demo() throws IOException {
        List<EmulatedEngine> engines = new ArrayList<>();
        engines.add(start("q1", "halle-1", "typ-a", 8, 1));
        engines.add(start("q2", "halle-1", "typ-b", 8, 2));
        engines.add(start("q3", "halle-2", "typ-a", 8, 3));
        return engines;
    }
}
