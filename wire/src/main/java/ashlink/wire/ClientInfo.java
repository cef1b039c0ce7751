package ashlink.wire;

import java.io.IOException;

/**
 * Client information in a Query packet. Trace and replica fields are skipped, because a router is
 * the first and only hop. The fields of the client program are empty for a client that connects
 * over HTTP.
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

    /** Client information of a client that sends none. */
    public static final ClientInfo NONE = new ClientInfo("", "", "", "", "", "", 0, 0, 0, 0, "");

    /** Reads the client information from a peer of the given revision. */
    static ClientInfo read(ByteSource in, int revision, WireLimits limits) throws IOException {
        int maxBytes = limits.nameBytes();
        int queryKind = in.readByte();
        if (queryKind == 0) {
            return NONE;
        }
        String user = in.readString("initial user", maxBytes);
        String id = in.readString("initial query id", maxBytes);
        String address = in.readString("initial address", maxBytes);
        if (revision >= Revision.INITIAL_QUERY_START_TIME) {
            in.readLong();
        }
        int transport = in.readByte();
        Program program = Program.NONE;
        if (transport == TCP) {
            program = Program.read(in, maxBytes);
        } else if (transport == HTTP) {
            skipHttpRequest(in, revision, maxBytes);
        }
        String quotaKey =
                revision >= Revision.QUOTA_KEY ? in.readString("quota key", maxBytes) : "";
        if (revision >= Revision.DISTRIBUTED_DEPTH) {
            in.readVarUInt();
        }
        boolean hasPatch = revision >= Revision.VERSION_PATCH && transport == TCP;
        int patch = hasPatch ? (int) in.readCount("patch version", Integer.MAX_VALUE) : 0;
        skipTraceAndReplicas(in, revision, maxBytes);
        return new ClientInfo(
                user,
                id,
                address,
                program.osUser,
                program.host,
                program.name,
                program.major,
                program.minor,
                program.revision,
                patch,
                quotaKey);
    }

    /** Fields that describe the program of a client of the native protocol. */
    private record Program(
            String osUser, String host, String name, int major, int minor, int revision) {

        static final Program NONE = new Program("", "", "", 0, 0, 0);

        static Program read(ByteSource in, int maxBytes) throws IOException {
            return new Program(
                    in.readString("operating system user", maxBytes),
                    in.readString("client host", maxBytes),
                    in.readString("client name", maxBytes),
                    (int) in.readCount("major version", Integer.MAX_VALUE),
                    (int) in.readCount("minor version", Integer.MAX_VALUE),
                    (int) in.readCount("revision", Integer.MAX_VALUE));
        }
    }

    private static void skipHttpRequest(ByteSource in, int revision, int maxBytes)
            throws IOException {
        in.readByte();
        in.readString("user agent", maxBytes);
        if (revision >= Revision.X_FORWARDED_FOR) {
            in.readString("X-Forwarded-For header", maxBytes);
        }
        if (revision >= Revision.REFERER) {
            in.readString("Referer header", maxBytes);
        }
    }

    private static void skipTraceAndReplicas(ByteSource in, int revision, int maxBytes)
            throws IOException {
        if (revision >= Revision.OPENTELEMETRY && in.readFlag()) {
            in.skip(TRACE_BYTES);
            in.readString("trace state", maxBytes);
            in.readByte();
        }
        if (revision >= Revision.PARALLEL_REPLICAS) {
            in.readVarUInt();
            in.readVarUInt();
            in.readVarUInt();
        }
    }

    /** Appends the client information for a peer of the given revision. */
    void write(int peerRevision, ByteBuf to) throws WireException {
        to.putByte(INITIAL_QUERY).putString(user).putString(queryId).putString(address);
        if (peerRevision >= Revision.INITIAL_QUERY_START_TIME) {
            to.putLong(0);
        }
        to.putByte(TCP)
                .putString(osUser)
                .putString(host)
                .putString(name)
                .putVarUInt(major)
                .putVarUInt(minor)
                .putVarUInt(revision);
        if (peerRevision >= Revision.QUOTA_KEY) {
            to.putString(quotaKey);
        }
        if (peerRevision >= Revision.DISTRIBUTED_DEPTH) {
            to.putVarUInt(0);
        }
        if (peerRevision >= Revision.VERSION_PATCH) {
            to.putVarUInt(patch);
        }
        if (peerRevision >= Revision.OPENTELEMETRY) {
            to.putByte(0);
        }
        if (peerRevision >= Revision.PARALLEL_REPLICAS) {
            to.putVarUInt(0).putVarUInt(0).putVarUInt(0);
        }
    }
}
