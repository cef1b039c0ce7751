package ashlink.wire;

import java.io.IOException;

/** ProfileInfo packet: statistics of a result. */
public record ProfileInfo(
        long rows,
        long blocks,
        long bytes,
        boolean appliedLimit,
        long rowsBeforeLimit,
        boolean calculatedRowsBeforeLimit) {

    /** Reads the content after the packet type. */
    public static ProfileInfo read(ByteSource in) throws IOException {
        return new ProfileInfo(
                in.readVarUInt(),
                in.readVarUInt(),
                in.readVarUInt(),
                in.readFlag(),
                in.readVarUInt(),
                in.readFlag());
    }

    /** Appends the packet type and the content. */
    public void write(ByteBuf to) throws WireException {
        to.putVarUInt(ServerPacket.PROFILE_INFO.ordinal())
                .putVarUInt(rows)
                .putVarUInt(blocks)
                .putVarUInt(bytes)
                .putFlag(appliedLimit)
                .putVarUInt(rowsBeforeLimit)
                .putFlag(calculatedRowsBeforeLimit);
    }
}
