package ashlink.wire;

import java.io.IOException;

/** Skips the server packets that neither carry a block nor end a response. */
public final class PacketSkipper {

    private PacketSkipper() {}

    /** Skips the content after the packet type, as sent by a server of the given revision. */
    public static void skip(ServerPacket type, ByteSource in, int revision, WireLimits limits)
            throws IOException {
        switch (type) {
            case PROGRESS -> Progress.read(in, revision);
            case PROFILE_INFO -> ProfileInfo.read(in);
            case TABLE_COLUMNS -> {
                in.skip(in.readCount("length of table name", limits.nameBytes()));
                in.skip(in.readCount("length of column descriptions", limits.textBytes()));
            }
            case PONG -> {}
            default ->
                    throw new WireException(
                            WireException.Reason.MALFORMED, "unexpected packet " + type);
        }
    }
}
