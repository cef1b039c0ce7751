package ashlink.wire;

import java.io.IOException;

/** Reads what compressed frames hold, with their checksums verified. */
public final class FrameSource extends ByteSource {

    private static final int REST = Compression.HEADER_BYTES;

    private final StreamSource in;
    private final int mostBytes;
    private byte[] frame = new byte[0];

    /** Reads frames of at most that many bytes, before and after compression. */
    public FrameSource(StreamSource in, int mostBytes) {
        super(new byte[0]);
        this.in = in;
        this.mostBytes = mostBytes;
    }

    @Override
    protected boolean refill() throws IOException {
        long low = in.readLong();
        long high = in.readLong();
        int method = in.readByte();
        int size = in.readInt();
        int length = in.readInt();
        Compression compression = Compression.of(method);
        if (size < REST || size - REST > mostBytes || length <= 0 || length > mostBytes) {
            throw new WireException(
                    size < REST || length == 0
                            ? WireException.Reason.MALFORMED
                            : WireException.Reason.TOO_LARGE,
                    "a compressed frame of "
                            + Integer.toUnsignedString(size)
                            + " bytes holds "
                            + Integer.toUnsignedString(length)
                            + ", the limit is "
                            + mostBytes);
        }
        if (frame.length < size) {
            frame = new byte[size];
        }
        frame[0] = (byte) method;
        for (int i = 0; i < Integer.BYTES; i++) {
            frame[1 + i] = (byte) (size >>> 8 * i);
            frame[5 + i] = (byte) (length >>> 8 * i);
        }
        in.readFully(frame, REST, size - REST);
        long[] sum = CityHash.hash128(frame, 0, size);
        if (sum[0] != low || sum[1] != high) {
            throw new WireException(
                    WireException.Reason.CHECKSUM, "the checksum of a compressed frame is wrong");
        }
        if (buffer.length < length) {
            buffer = new byte[length];
        }
        compression.decompress(frame, REST, size - REST, buffer, length);
        pos = 0;
        end = length;
        return true;
    }

    /** Lets go of large buffers between blocks; all in hand must have been read. */
    void endOfBlock() throws WireException {
        if (pos != end) {
            throw new WireException(
                    WireException.Reason.MALFORMED, "a compressed frame goes on past its block");
        }
    }
}
