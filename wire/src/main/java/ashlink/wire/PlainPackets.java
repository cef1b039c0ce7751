package ashlink.wire;

import java.io.IOException;

/** Packets of a server that carry neither a block nor an end, for readers that only skip them. */
public final class PlainPackets {

    private PlainPackets() {}

    /** Skips what follows the kind, as a server of that revision writes it. */
    public static void skip(ServerPacket kind, ByteSource in, int revision, WireLimits limits)
            throws IOException {
        switch (kind) {
            case PROGRESS -> Progress.read(in, revision);
            case PROFILE_INFO -> ProfileInfo.read(in);
            case TABLE_COLUMNS -> {
                in.skip(in.readCount("length of a table's name", limits.nameBytes()));
                in.skip(in.readCount("length of columns", limits.textBytes()));
            }
            case PONG -> {}
            default ->
                    throw new WireException(
                            WireException.Reason.MALFORMED, "packet " + kind + " is out of place");
        }
    }
}
