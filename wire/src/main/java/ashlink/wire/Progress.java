package ashlink.wire;

import java.io.IOException;

/** Progress packet: rows and bytes processed since the previous Progress packet. */
public record Progress(long rows, long bytes, long totalRows, long writtenRows, long writtenBytes) {

    /** Reads the content after the packet type from a peer of the given revision. */
    public static Progress read(ByteSource in, int revision) throws IOException {
        boolean hasWriteInfo = revision >= Revision.CLIENT_WRITE_INFO;
        return new Progress(
                in.readVarUInt(),
                in.readVarUInt(),
                in.readVarUInt(),
                hasWriteInfo ? in.readVarUInt() : 0,
                hasWriteInfo ? in.readVarUInt() : 0);
    }

    /** Appends the packet type and the content for a peer of the given revision. */
    public void write(int peerRevision, ByteBuf to) throws WireException {
        to.putVarUInt(ServerPacket.PROGRESS.ordinal())
                .putVarUInt(rows)
                .putVarUInt(bytes)
                .putVarUInt(totalRows);
        if (peerRevision >= Revision.CLIENT_WRITE_INFO) {
            to.putVarUInt(writtenRows).putVarUInt(writtenBytes);
        }
    }
}
