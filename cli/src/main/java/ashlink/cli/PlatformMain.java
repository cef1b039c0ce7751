package ashlink.cli;

/**
 * Entry point of a router on the operators' platform. Does not parse a command line, so that only
 * the classes that the router uses are loaded.
 */
public final class PlatformMain {

    private PlatformMain() {}

    /**
     * Configures logging and runs the router. The environment variable {@code ASHLINK_LOG} sets the
     * log level, which is INFO by default.
     */
    public static void main(String[] args) throws Exception {
        LogSetup.configure(
                Main.LogFormat.PLAIN, System.getenv().getOrDefault("ASHLINK_LOG", "INFO"));
        ashlink.platform.Main.main(args);
    }
}
