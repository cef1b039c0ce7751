package ashlink.rig.fleet;

import ashlink.config.ConfigException;
import ashlink.config.RouterConfig;
import ashlink.config.RouterConfigReader;
import ashlink.standin.EmulatedEngine;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/** Settings of routers for the halls of the brief, with engines where they listen. */
public final class TestSettings {

    private static final String FOLDER = "/ashlink/rig/";

    private TestSettings() {}

    /** A text that comes with the rig. */
    public static String resource(String name) {
        try (InputStream in = TestSettings.class.getResourceAsStream(FOLDER + name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The text of a router's settings; {@code extra} is further settings. */
    public static String text(
            String name,
            String zone,
            int position,
            int gateways,
            long seed,
            int port,
            Collection<EmulatedEngine> engines,
            String extra) {
        StringBuilder text =
                new StringBuilder(
                        "(router\n  (name "
                                + name
                                + ") (zone "
                                + zone
                                + ") (gateways "
                                + gateways
                                + ") (position "
                                + position
                                + ") (seed "
                                + seed
                                + ")\n  (listen (native 127.0.0.1:"
                                + port
                                + "))\n"
                                + resource("brief.sexp")
                                + (extra.contains("(limits") ? "" : resource("brief-limits.sexp")));
        for (EmulatedEngine e : engines) {
            text.append("  (engine ")
                    .append(e.config().name())
                    .append(" (address 127.0.0.1:")
                    .append(e.address().getPort())
                    .append(") (zone ")
                    .append(e.config().zone())
                    .append(") (kind ")
                    .append(e.config().kind())
                    .append("))\n");
        }
        return text.append(extra).append(")\n").toString();
    }

    /** The settings of a router. */
    public static RouterConfig of(
            String name,
            String zone,
            int position,
            int gateways,
            long seed,
            int port,
            Collection<EmulatedEngine> engines,
            String extra) {
        try {
            return RouterConfigReader.read(
                    name + ".sexp",
                    text(name, zone, position, gateways, seed, port, engines, extra));
        } catch (ConfigException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
