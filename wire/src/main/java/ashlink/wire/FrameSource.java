package ashlink.wire;

import java.io.IOException;

/** Reads the uncompressed content of frames and verifies the checksums. */
public final class FrameSource extends ByteSource {

    private static final int HEADER_BYTES = Compression.HEADER_BYTES;

    private final StreamSource in;
    private final int maxBytes;
    private byte[] frame = new byte[0];

    /** Creates a source of frames of at most {@code maxBytes}, both compressed and uncompressed. */
    public FrameSource(StreamSource in, int maxBytes) {
        super(new byte[0]);
        this.in = in;
        this.maxBytes = maxBytes;
    }

    @Override
    protected boolean refill() throws IOException {
        long checksumLow = in.readLong();
        long checksumHigh = in.readLong();
        int method = in.readByte();
        int frameBytes = in.readInt();
        int contentBytes = in.readInt();
        Compression compression = Compression.of(method);
        checkSizes(frameBytes, contentBytes);
        readFrame(method, frameBytes, contentBytes);
        long[] checksum = CityHash.hash128(frame, 0, frameBytes);
        if (checksum[0] != checksumLow || checksum[1] != checksumHigh) {
            throw new WireException(
                    WireException.Reason.CHECKSUM, "checksum mismatch of a compressed frame");
        }
        if (buffer.length < contentBytes) {
            buffer = new byte[contentBytes];
        }
        compression.decompress(
                frame, HEADER_BYTES, frameBytes - HEADER_BYTES, buffer, contentBytes);
        pos = 0;
        end = contentBytes;
        return true;
    }

    private void checkSizes(int frameBytes, int contentBytes) throws WireException {
        boolean tooSmall = frameBytes < HEADER_BYTES || contentBytes == 0;
        if (tooSmall
                || frameBytes - HEADER_BYTES > maxBytes
                || contentBytes < 0
                || contentBytes > maxBytes) {
            throw new WireException(
                    tooSmall ? WireException.Reason.MALFORMED : WireException.Reason.TOO_LARGE,
                    "invalid compressed frame of "
                            + Integer.toUnsignedString(frameBytes)
                            + " bytes with "
                            + Integer.toUnsignedString(contentBytes)
                            + " bytes of content: at most "
                            + maxBytes);
        }
    }

    /**
     * Reads the rest of the frame; stores the header before the data, since the checksum covers
     * both.
     */
    private void readFrame(int method, int frameBytes, int contentBytes) throws IOException {
        if (frame.length < frameBytes) {
            frame = new byte[frameBytes];
        }
        frame[0] = (byte) method;
        for (int i = 0; i < Integer.BYTES; i++) {
            frame[1 + i] = (byte) (frameBytes >>> 8 * i);
            frame[1 + Integer.BYTES + i] = (byte) (contentBytes >>> 8 * i);
        }
        in.readFully(frame, HEADER_BYTES, frameBytes - HEADER_BYTES);
    }

    /** Checks that the last frame of a block has no data after the block. */
    void requireEndOfBlock() throws WireException {
        if (pos != end) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "unexpected data after the block in a compressed frame");
        }
    }
}
