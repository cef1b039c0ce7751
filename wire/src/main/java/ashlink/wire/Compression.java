package ashlink.wire;

import com.github.luben.zstd.Zstd;
import com.github.luben.zstd.ZstdException;
import net.jpountz.lz4.LZ4Compressor;
import net.jpountz.lz4.LZ4Exception;
import net.jpountz.lz4.LZ4Factory;
import net.jpountz.lz4.LZ4SafeDecompressor;

/**
 * Compression methods and the format of compressed frames: a 16-byte checksum of the rest of the
 * frame, one byte for the method, the compressed size including the nine header bytes, the
 * uncompressed size, and the data.
 */
public enum Compression {
    /** Frames without compression. */
    NONE(0x02),
    /** LZ4 blocks. */
    LZ4(0x82),
    /** Zstandard frames. */
    ZSTD(0x90);

    static final int CHECKSUM_BYTES = 16;
    static final int HEADER_BYTES = 9;

    /** Limit on the uncompressed content of a written frame, the same as in public clients. */
    private static final int FRAME_CONTENT_BYTES = 1 << 20;

    private static final int ZSTD_LEVEL = 1;
    private static final LZ4Compressor LZ4_COMPRESSOR =
            LZ4Factory.fastestInstance().fastCompressor();
    private static final LZ4SafeDecompressor LZ4_DECOMPRESSOR =
            LZ4Factory.fastestInstance().safeDecompressor();

    private final int method;

    Compression(int method) {
        this.method = method;
    }

    static Compression of(int method) throws WireException {
        for (Compression compression : values()) {
            if (compression.method == method) {
                return compression;
            }
        }
        throw new WireException(
                WireException.Reason.MALFORMED,
                "unknown compression method 0x" + Integer.toHexString(method));
    }

    /** Appends the given bytes as compressed frames. */
    public void compress(byte[] from, int offset, int length, ByteBuf to) throws WireException {
        for (int done = 0; done < length; done += FRAME_CONTENT_BYTES) {
            writeFrame(from, offset + done, Math.min(FRAME_CONTENT_BYTES, length - done), to);
        }
    }

    private void writeFrame(byte[] from, int offset, int length, ByteBuf to) throws WireException {
        byte[] out = new byte[HEADER_BYTES + maxCompressedLength(length)];
        int frameBytes =
                HEADER_BYTES
                        + switch (this) {
                            case NONE -> {
                                System.arraycopy(from, offset, out, HEADER_BYTES, length);
                                yield length;
                            }
                            case LZ4 ->
                                    LZ4_COMPRESSOR.compress(
                                            from,
                                            offset,
                                            length,
                                            out,
                                            HEADER_BYTES,
                                            out.length - HEADER_BYTES);
                            case ZSTD ->
                                    (int)
                                            Zstd.compressByteArray(
                                                    out,
                                                    HEADER_BYTES,
                                                    out.length - HEADER_BYTES,
                                                    from,
                                                    offset,
                                                    length,
                                                    ZSTD_LEVEL);
                        };
        out[0] = (byte) method;
        for (int i = 0; i < Integer.BYTES; i++) {
            out[1 + i] = (byte) (frameBytes >>> 8 * i);
            out[1 + Integer.BYTES + i] = (byte) (length >>> 8 * i);
        }
        long[] checksum = CityHash.hash128(out, 0, frameBytes);
        to.putLong(checksum[0]).putLong(checksum[1]).append(out, 0, frameBytes);
    }

    private int maxCompressedLength(int length) {
        return switch (this) {
            case NONE -> length;
            case LZ4 -> LZ4_COMPRESSOR.maxCompressedLength(length);
            case ZSTD -> (int) Zstd.compressBound(length);
        };
    }

    /**
     * Decompresses {@code size} bytes from the offset to exactly {@code length} bytes.
     *
     * @throws WireException with {@code MALFORMED} if the data is corrupt or decompresses to
     *     another length
     */
    void decompress(byte[] from, int offset, int size, byte[] to, int length) throws WireException {
        long decompressed;
        try {
            decompressed =
                    switch (this) {
                        case NONE -> {
                            if (size == length) {
                                System.arraycopy(from, offset, to, 0, length);
                            }
                            yield size;
                        }
                        case LZ4 -> LZ4_DECOMPRESSOR.decompress(from, offset, size, to, 0, length);
                        case ZSTD -> Zstd.decompressByteArray(to, 0, length, from, offset, size);
                    };
        } catch (LZ4Exception | ZstdException e) {
            throw new WireException(
                    WireException.Reason.MALFORMED, "corrupt compressed frame: " + e.getMessage());
        }
        if (decompressed != length) {
            throw new WireException(
                    WireException.Reason.MALFORMED,
                    "compressed frame holds "
                            + decompressed
                            + " bytes, but the header declares "
                            + length);
        }
    }
}
