package ashlink.wire;

import java.io.IOException;

/**
 * What a Query packet tells of the client behind it. Trace and replica fields are passed over: a
 * router is the first and only hop.
 */
public record ClientInfo(
        String user,
        String queryId,
        String address,
        String osUser,
        String host,
        String name,
        int major,
        int minor,
        int revision,
        int patch,
        String quotaKey) {

    private static final int INITIAL_QUERY = 1;
    private static final int TCP = 1;
    private static final int HTTP = 2;
    private static final int TRACE_BYTES = 24;

    /** One that tells nothing. */
    public static final ClientInfo NONE = new ClientInfo("", "", "", "", "", "", 0, 0, 0, 0, "");

    /** Reads it as a peer of that revision writes it. */
    static ClientInfo read(ByteSource in, int revision, WireLimits limits) throws IOException {
        int most = limits.nameBytes();
        int kind = in.readByte();
        if (kind == 0) {
            return NONE;
        }
        String user = in.readString("initial user", most);
        String id = in.readString("initial query id", most);
        String address = in.readString("initial address", most);
        if (revision >= Revision.INITIAL_QUERY_START_TIME) {
            in.readLong();
        }
        int door = in.readByte();
        String osUser = "";
        String host = "";
        String name = "";
        int major = 0;
        int minor = 0;
        int spoken = 0;
        if (door == TCP) {
            osUser = in.readString("os user", most);
            host = in.readString("client host", most);
            name = in.readString("client name", most);
            major = (int) in.readCount("version", Integer.MAX_VALUE);
            minor = (int) in.readCount("version", Integer.MAX_VALUE);
            spoken = (int) in.readCount("revision", Integer.MAX_VALUE);
        } else if (door == HTTP) {
            in.readByte();
            in.readString("user agent", most);
            if (revision >= Revision.X_FORWARDED_FOR) {
                in.readString("forwarded for", most);
            }
            if (revision >= Revision.REFERER) {
                in.readString("referer", most);
            }
        }
        String quotaKey = revision >= Revision.QUOTA_KEY ? in.readString("quota key", most) : "";
        if (revision >= Revision.DISTRIBUTED_DEPTH) {
            in.readVarUInt();
        }
        int patch =
                revision >= Revision.VERSION_PATCH && door == TCP
                        ? (int) in.readCount("version", Integer.MAX_VALUE)
                        : 0;
        if (revision >= Revision.OPENTELEMETRY && in.readFlag()) {
            in.skip(TRACE_BYTES);
            in.readString("trace state", most);
            in.readByte();
        }
        if (revision >= Revision.PARALLEL_REPLICAS) {
            in.readVarUInt();
            in.readVarUInt();
            in.readVarUInt();
        }
        return new ClientInfo(
                user, id, address, osUser, host, name, major, minor, spoken, patch, quotaKey);
    }

    /** Appends it for a peer of that revision. */
    void write(int peer, ByteBuf to) throws WireException {
        to.putByte(INITIAL_QUERY).putString(user).putString(queryId).putString(address);
        if (peer >= Revision.INITIAL_QUERY_START_TIME) {
            to.putLong(0);
        }
        to.putByte(TCP)
                .putString(osUser)
                .putString(host)
                .putString(name)
                .putVarUInt(major)
                .putVarUInt(minor)
                .putVarUInt(revision);
        if (peer >= Revision.QUOTA_KEY) {
            to.putString(quotaKey);
        }
        if (peer >= Revision.DISTRIBUTED_DEPTH) {
            to.putVarUInt(0);
        }
        if (peer >= Revision.VERSION_PATCH) {
            to.putVarUInt(patch);
        }
        if (peer >= Revision.OPENTELEMETRY) {
            to.putByte(0);
        }
        if (peer >= Revision.PARALLEL_REPLICAS) {
            to.putVarUInt(0).putVarUInt(0).putVarUInt(0);
        }
    }
}
