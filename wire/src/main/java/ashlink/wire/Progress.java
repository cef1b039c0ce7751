package ashlink.wire;

import java.io.IOException;

/** A Progress packet: what was done since the last. */
public record Progress(long rows, long bytes, long totalRows, long writtenRows, long writtenBytes) {

    /** Reads what follows the kind, as a peer of that revision writes it. */
    public static Progress read(ByteSource in, int revision) throws IOException {
        boolean writes = revision >= Revision.CLIENT_WRITE_INFO;
        return new Progress(
                in.readVarUInt(),
                in.readVarUInt(),
                in.readVarUInt(),
                writes ? in.readVarUInt() : 0,
                writes ? in.readVarUInt() : 0);
    }

    /** Appends kind and content for a peer of that revision. */
    public void write(int peer, ByteBuf to) throws WireException {
        to.putVarUInt(ServerPacket.PROGRESS.ordinal())
                .putVarUInt(rows)
                .putVarUInt(bytes)
                .putVarUInt(totalRows);
        if (peer >= Revision.CLIENT_WRITE_INFO) {
            to.putVarUInt(writtenRows).putVarUInt(writtenBytes);
        }
    }
}
