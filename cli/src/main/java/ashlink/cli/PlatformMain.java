package ashlink.cli;

/**
 * Entry of a router on the operators' platform: no command line, nothing loaded that it does not
 * use.
 */
public final class PlatformMain {

    private PlatformMain() {}

    /** Sets the log up and runs the router; {@code ASHLINK_LOG} names another level than INFO. */
    public static void main(String[] args) throws Exception {
        Logs.configure(Main.LogForm.PLAIN, System.getenv().getOrDefault("ASHLINK_LOG", "INFO"));
        ashlink.platform.Main.main(args);
    }
}
