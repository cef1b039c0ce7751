package ashlink.wire;

import java.io.IOException;
import java.io.InputStream;

/**
 * Reads from a stream, and copies what is read to a tap while one is set: a relay passes packets on
 * unchanged, and reads them only to find where they end.
 */
public final class StreamSource extends ByteSource {

    private final InputStream in;
    private ByteBuf tap;
    private int tapFrom;
    private long consumedBefore;

    /** Reads through a buffer of that many bytes. */
    public StreamSource(InputStream in, int bufferBytes) {
        super(new byte[bufferBytes]);
        this.in = in;
    }

    @Override
    protected boolean refill() throws IOException {
        flushTap();
        consumedBefore += end;
        pos = 0;
        end = 0;
        tapFrom = 0;
        int count = in.read(buffer, 0, buffer.length);
        if (count <= 0) {
            return false;
        }
        end = count;
        return true;
    }

    /** Bytes read from the stream so far, without those that are only buffered. */
    public long consumed() {
        return consumedBefore + pos;
    }

    /** From here on what is read is also appended to {@code to}. */
    public void startTap(ByteBuf to) {
        tap = to;
        tapFrom = pos;
    }

    /** Ends the copying; all that was read since {@link #startTap} is in its buffer then. */
    public void endTap() throws WireException {
        flushTap();
        tap = null;
    }

    private void flushTap() throws WireException {
        if (tap != null && pos > tapFrom) {
            tap.append(buffer, tapFrom, pos - tapFrom);
            tapFrom = pos;
        }
    }
}
