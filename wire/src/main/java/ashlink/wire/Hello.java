package ashlink.wire;

import java.io.IOException;

/** Hello packets, which open a connection. */
public final class Hello {

    private Hello() {}

    /** Hello packet of a client. */
    public record Client(
            String name,
            int major,
            int minor,
            int revision,
            String database,
            String user,
            String password) {

        /** Reads the content after the packet type. */
        public static Client read(ByteSource in, WireLimits limits) throws IOException {
            return new Client(
                    in.readString("client name", limits.nameBytes()),
                    readVersion(in),
                    readVersion(in),
                    (int) in.readCount("revision", Integer.MAX_VALUE),
                    in.readString("database", limits.nameBytes()),
                    in.readString("user", limits.nameBytes()),
                    in.readString("password", limits.nameBytes()));
        }

        /** Appends the packet type and the content. */
        public void write(ByteBuf to) throws WireException {
            to.putVarUInt(ClientPacket.HELLO.ordinal())
                    .putString(name)
                    .putVarUInt(major)
                    .putVarUInt(minor)
                    .putVarUInt(revision)
                    .putString(database)
                    .putString(user)
                    .putString(password);
        }
    }

    /** Hello packet of a server. */
    public record Server(
            String name,
            int major,
            int minor,
            int revision,
            String timezone,
            String displayName,
            int patch) {

        /** Reads the content after the packet type. */
        public static Server read(ByteSource in, WireLimits limits) throws IOException {
            String name = in.readString("server name", limits.nameBytes());
            int major = readVersion(in);
            int minor = readVersion(in);
            int revision = (int) in.readCount("revision", Integer.MAX_VALUE);
            String timezone =
                    revision >= Revision.SERVER_TIMEZONE
                            ? in.readString("time zone", limits.nameBytes())
                            : "";
            String displayName =
                    revision >= Revision.SERVER_DISPLAY_NAME
                            ? in.readString("display name", limits.nameBytes())
                            : "";
            int patch = revision >= Revision.VERSION_PATCH ? readVersion(in) : 0;
            return new Server(name, major, minor, revision, timezone, displayName, patch);
        }

        /** Appends the packet type and the content for a client of the given revision. */
        public void write(int clientRevision, ByteBuf to) throws WireException {
            to.putVarUInt(ServerPacket.HELLO.ordinal())
                    .putString(name)
                    .putVarUInt(major)
                    .putVarUInt(minor)
                    .putVarUInt(revision);
            if (clientRevision >= Revision.SERVER_TIMEZONE) {
                to.putString(timezone);
            }
            if (clientRevision >= Revision.SERVER_DISPLAY_NAME) {
                to.putString(displayName);
            }
            if (clientRevision >= Revision.VERSION_PATCH) {
                to.putVarUInt(patch);
            }
        }
    }

    private static int readVersion(ByteSource in) throws IOException {
        return (int) in.readCount("version", Integer.MAX_VALUE);
    }
}
