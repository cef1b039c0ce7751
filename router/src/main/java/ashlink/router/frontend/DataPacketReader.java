package ashlink.router.frontend;

import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.Quota;
import ashlink.wire.StreamSource;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import java.io.IOException;
import java.util.Arrays;

/** Reads the Data packets of one client connection. Used only by the thread of the connection. */
final class DataPacketReader {

    private final StreamSource in;
    private final BlockReader blocks;
    private final WireLimits limits;

    DataPacketReader(StreamSource in, WireLimits limits) {
        this.in = in;
        this.blocks = new BlockReader(in, limits);
        this.limits = limits;
    }

    /** Reads the rest of a Data packet and appends the complete packet to a buffer. */
    BlockReader.Size read(ByteBuf target, boolean compressed) throws IOException {
        target.putVarUInt(ClientPacket.DATA.ordinal());
        in.startTap(target);
        in.readString("table", limits.nameBytes());
        BlockReader.Size size = blocks.skip(compressed);
        in.endTap();
        return size;
    }

    /**
     * Reads the external tables of a query, up to the empty block that ends the list.
     *
     * @param quota memory that the tables occupy while they are read
     */
    byte[] readExternalTables(boolean compressed, long maxBytes, Quota quota) throws IOException {
        ByteBuf tables = new ByteBuf(maxBytes, quota);
        try {
            boolean hasMore = true;
            while (hasMore) {
                hasMore = !readExternalTable(tables, compressed);
            }
            return Arrays.copyOf(tables.array(), tables.size());
        } finally {
            // Also if the client leaves in the middle: the quota is shared with all other clients.
            tables.release();
        }
    }

    /** Reads an external table; returns true for the empty block that ends the list. */
    private boolean readExternalTable(ByteBuf target, boolean compressed) throws IOException {
        int kind = in.readByte();
        if (ClientPacket.of(kind) != ClientPacket.DATA) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unexpected packet " + kind + " after a query: expected Data");
        }
        return read(target, compressed).isEnd();
    }
}
