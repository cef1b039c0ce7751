package ashlink.router.http;

import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.PacketSkipper;
import ashlink.wire.Progress;
import ashlink.wire.Revision;
import ashlink.wire.ServerError;
import ashlink.wire.ServerPacket;
import ashlink.wire.StreamSource;
import ashlink.wire.WireLimits;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.Arrays;

/** Decodes the packets of a response in the native protocol. */
final class ResponseDecoder {

    private static final int MIN_READ_BYTES = 16;
    private static final int MAX_READ_BYTES = 64 << 10;

    /** Receives the parts of a response. */
    interface Handler {

        void onError(ServerError error);

        void onProgress(Progress progress);

        /** Receives the header of the result: a block without rows that names the columns. */
        void onHeader(byte[] block);

        /** Receives a block of rows as a range of {@code bytes}. */
        void onRows(byte[] bytes, int offset, int length, long rowCount) throws IOException;
    }

    private ResponseDecoder() {}

    /** Decodes complete packets in order and passes their parts to the handler. */
    static void decode(ByteBuf packets, WireLimits limits, Handler handler) throws IOException {
        byte[] bytes = packets.array();
        StreamSource in =
                new StreamSource(
                        new ByteArrayInputStream(bytes, 0, packets.size()),
                        Math.max(MIN_READ_BYTES, Math.min(packets.size(), MAX_READ_BYTES)));
        BlockReader blocks = new BlockReader(in, limits);
        while (in.consumed() < packets.size()) {
            ServerPacket kind = ServerPacket.of(in.readVarUInt());
            if (kind == ServerPacket.EXCEPTION) {
                handler.onError(ServerError.read(in, limits));
            } else if (kind == ServerPacket.PROGRESS) {
                handler.onProgress(Progress.read(in, Revision.HIGHEST));
            } else if (kind.hasBlock()) {
                in.readString("table", limits.nameBytes());
                int offset = (int) in.consumed();
                BlockReader.Size size = blocks.skip(false);
                if (kind == ServerPacket.DATA && size.columns() > 0) {
                    int length = (int) in.consumed() - offset;
                    handleBlock(bytes, offset, length, size.rows(), handler);
                }
            } else if (kind != ServerPacket.END_OF_STREAM) {
                PacketSkipper.skip(kind, in, Revision.HIGHEST, limits);
            }
        }
    }

    private static void handleBlock(
            byte[] bytes, int offset, int length, long rowCount, Handler handler)
            throws IOException {
        if (rowCount == 0) {
            handler.onHeader(Arrays.copyOfRange(bytes, offset, offset + length));
        } else {
            handler.onRows(bytes, offset, length, rowCount);
        }
    }
}
