package ashlink.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Query packet: a statement with its settings. The stage states how far the statement is executed;
 * all clients other than servers request {@link #COMPLETE}.
 */
public record QueryPacket(
        String id,
        ClientInfo client,
        List<Setting> settings,
        int stage,
        boolean compressed,
        String statement) {

    /** Stage of a statement that is executed completely. */
    public static final int COMPLETE = 2;

    private static final int MAX_STAGE = 8;

    /**
     * Settings that older clients encode as a number; older clients encode all other settings as
     * strings.
     */
    private static final Set<String> NUMERIC_SETTINGS =
            Set.of(
                    "max_execution_time",
                    "max_block_size",
                    "max_threads",
                    "max_memory_usage",
                    "priority",
                    "max_result_rows",
                    "max_rows_to_read",
                    "connect_timeout",
                    "receive_timeout",
                    "send_timeout",
                    "extremes",
                    "log_queries",
                    "readonly",
                    "insert_block_size",
                    "max_insert_block_size",
                    "insert_quorum",
                    "use_client_time_zone");

    /** Reads the content after the packet type from a peer of the given revision. */
    public static QueryPacket read(ByteSource in, int revision, WireLimits limits)
            throws IOException {
        String id = in.readString("query id", limits.nameBytes());
        ClientInfo client = ClientInfo.read(in, revision, limits);
        List<Setting> settings =
                revision >= Revision.SETTINGS_AS_STRINGS
                        ? readSettings(in, limits)
                        : readSettingsByType(in, limits);
        if (revision >= Revision.INTERSERVER_SECRET
                && !in.readString("interserver secret", limits.nameBytes()).isEmpty()) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unsupported interserver secret: expected an empty string");
        }
        int stage = (int) in.readCount("stage", MAX_STAGE);
        boolean compressed = in.readFlag();
        return new QueryPacket(
                id,
                client,
                settings,
                stage,
                compressed,
                in.readString("statement", limits.textBytes()));
    }

    private static List<Setting> readSettings(ByteSource in, WireLimits limits) throws IOException {
        List<Setting> settings = new ArrayList<>();
        for (String name = readSettingName(in, limits);
                !name.isEmpty();
                name = readSettingName(in, limits)) {
            checkCount(settings, limits);
            long flags = in.readVarUInt();
            settings.add(
                    new Setting(
                            name,
                            flags,
                            in.readString("value of setting " + name, limits.textBytes())));
        }
        return List.copyOf(settings);
    }

    private static List<Setting> readSettingsByType(ByteSource in, WireLimits limits)
            throws IOException {
        List<Setting> settings = new ArrayList<>();
        for (String name = readSettingName(in, limits);
                !name.isEmpty();
                name = readSettingName(in, limits)) {
            checkCount(settings, limits);
            String value =
                    NUMERIC_SETTINGS.contains(name)
                            ? Long.toString(in.readVarUInt())
                            : in.readString("value of setting " + name, limits.textBytes());
            settings.add(new Setting(name, 0, value));
        }
        return List.copyOf(settings);
    }

    private static String readSettingName(ByteSource in, WireLimits limits) throws IOException {
        return in.readString("setting name", limits.nameBytes());
    }

    private static void checkCount(List<Setting> settings, WireLimits limits) throws WireException {
        if (settings.size() >= limits.settings()) {
            throw new WireException(
                    WireException.Reason.TOO_LARGE,
                    "too many settings in a query: at most " + limits.settings());
        }
    }

    /**
     * Appends the packet type and the content for a peer of the given revision, at least {@link
     * Revision#SETTINGS_AS_STRINGS}.
     */
    public void write(int peerRevision, ByteBuf to) throws WireException {
        to.putVarUInt(ClientPacket.QUERY.ordinal()).putString(id);
        client.write(peerRevision, to);
        for (Setting setting : settings) {
            to.putString(setting.name()).putVarUInt(setting.flags()).putString(setting.value());
        }
        to.putString("");
        if (peerRevision >= Revision.INTERSERVER_SECRET) {
            to.putString("");
        }
        to.putVarUInt(stage).putFlag(compressed).putString(statement);
    }

    /**
     * Returns the value of a setting, or null if the setting is not set; the last value applies if
     * the setting is repeated.
     */
    public String setting(String name) {
        String value = null;
        for (Setting setting : settings) {
            value = setting.name().equals(name) ? setting.value() : value;
        }
        return value;
    }
}
