package ashlink.wire;

import java.io.IOException;
import java.io.InputStream;

/**
 * Reads from a stream and, while a tap is set, copies all bytes read to the tap. A relay forwards
 * packets unchanged and parses packets only to find their end.
 */
public final class StreamSource extends ByteSource {

    private final InputStream in;
    private ByteBuf tap;
    private int tapStart;
    private long consumedBeforeBuffer;

    /** Creates a source with a buffer of the given size. */
    public StreamSource(InputStream in, int bufferBytes) {
        super(new byte[bufferBytes]);
        this.in = in;
    }

    @Override
    protected boolean refill() throws IOException {
        flushTap();
        consumedBeforeBuffer += end;
        pos = 0;
        end = 0;
        tapStart = 0;
        int count = in.read(buffer, 0, buffer.length);
        if (count <= 0) {
            return false;
        }
        end = count;
        return true;
    }

    /** Returns the number of bytes read so far, without bytes that are only buffered. */
    public long consumed() {
        return consumedBeforeBuffer + pos;
    }

    /** Starts copying: all bytes read from now on are also appended to {@code to}. */
    public void startTap(ByteBuf to) {
        tap = to;
        tapStart = pos;
    }

    /**
     * Ends the copying; the buffer given to {@link #startTap} then holds all bytes read since that
     * call.
     */
    public void endTap() throws WireException {
        flushTap();
        tap = null;
    }

    private void flushTap() throws WireException {
        if (tap != null && pos > tapStart) {
            tap.append(buffer, tapStart, pos - tapStart);
            tapStart = pos;
        }
    }
}
