package ashlink.wire;

/**
 * Protocol revisions that introduced a field, with the numbers of the public specification. Both
 * peers use the lower of the two revisions.
 */
public final class Revision {

    /** Highest supported revision: later revisions have another block layout. */
    public static final int HIGHEST = 54453;

    /** Revision from which settings are strings; the lowest fully supported revision. */
    public static final int SETTINGS_AS_STRINGS = 54429;

    /** Lowest accepted revision: older public clients, which encode each setting by its type. */
    public static final int LOWEST = 54372;

    static final int SERVER_TIMEZONE = 54058;
    static final int QUOTA_KEY = 54060;
    static final int SERVER_DISPLAY_NAME = 54372;
    static final int VERSION_PATCH = 54401;
    static final int SERVER_LOGS = 54406;
    static final int COLUMN_DEFAULTS = 54410;
    static final int CLIENT_WRITE_INFO = 54420;
    static final int INTERSERVER_SECRET = 54441;
    static final int OPENTELEMETRY = 54442;
    static final int X_FORWARDED_FOR = 54443;
    static final int REFERER = 54447;
    static final int DISTRIBUTED_DEPTH = 54448;
    static final int INITIAL_QUERY_START_TIME = 54449;
    static final int PROFILE_EVENTS = 54451;
    static final int PARALLEL_REPLICAS = 54453;

    private Revision() {}

    /** Returns true if a peer of the given revision supports {@code Log} packets. */
    public static boolean hasLogs(int revision) {
        return revision >= SERVER_LOGS;
    }

    /** Returns true if a peer of the given revision supports {@code TableColumns} packets. */
    public static boolean hasTableColumns(int revision) {
        return revision >= COLUMN_DEFAULTS;
    }

    /** Returns true if a peer of the given revision supports {@code ProfileEvents} packets. */
    public static boolean hasProfileEvents(int revision) {
        return revision >= PROFILE_EVENTS;
    }
}
