package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.wire.Quota;
import java.util.ArrayList;
import java.util.List;

/**
 * The data of an insert on its way from the client to an engine. All of it is buffered while it is
 * within the limit, so that a retry can send it again. Beyond the limit only unsent data is
 * buffered, up to a window, and there is no retry. Safe for use by several threads: the client's
 * thread puts, the thread of the current attempt takes.
 */
public final class InsertFeed {

    /** Unsent bytes beyond which the client has to wait, once the data is not replayable. */
    private static final long WINDOW_BYTES = 4 << 20;

    private final long maxReplayBytes;
    private final Quota quota;

    // Guarded by this.
    private final List<byte[]> packets = new ArrayList<>();
    private long bufferedBytes;
    private long unsentBytes;
    private int nextIndex;
    private boolean complete;
    private boolean replayable = true;
    private boolean closed;

    InsertFeed(long maxReplayBytes, Quota quota) {
        this.maxReplayBytes = maxReplayBytes;
        this.quota = quota;
    }

    /**
     * Appends the client's next packet; blocks while the window is full.
     *
     * @param last whether the packet ends the data
     */
    public synchronized void put(byte[] packet, boolean last) throws InterruptedException {
        if (replayable
                && (bufferedBytes + packet.length > maxReplayBytes || !quota.take(packet.length))) {
            replayable = false;
            dropSent();
            quota.give(bufferedBytes);
        }
        while (!closed
                && !replayable
                && unsentBytes > 0
                && unsentBytes + packet.length > WINDOW_BYTES) {
            wait();
        }
        if (closed) {
            return;
        }
        packets.add(packet);
        bufferedBytes += packet.length;
        unsentBytes += packet.length;
        complete = last;
        notifyAll();
    }

    private void dropSent() {
        List<byte[]> sent = packets.subList(0, nextIndex);
        for (byte[] packet : sent) {
            bufferedBytes -= packet.length;
        }
        sent.clear();
        nextIndex = 0;
    }

    /** Starts over for another attempt; returns false if a part of the data is dropped. */
    synchronized boolean rewind() {
        if (!replayable || closed) {
            return false;
        }
        nextIndex = 0;
        unsentBytes = bufferedBytes;
        return true;
    }

    /**
     * Returns the next packet; blocks until there is one.
     *
     * @return null once the feed is closed or the attempt is over
     */
    synchronized byte[] next(Attempt attempt) throws InterruptedException {
        while (!closed && !attempt.isOver() && nextIndex == packets.size()) {
            wait();
        }
        if (closed || attempt.isOver()) {
            return null;
        }
        byte[] packet = packets.get(nextIndex);
        unsentBytes -= packet.length;
        if (replayable) {
            nextIndex++;
        } else {
            packets.remove(nextIndex);
            bufferedBytes -= packet.length;
            notifyAll();
        }
        return packet;
    }

    /** Tells whether the packet that {@link #next} returned last ends the data. */
    synchronized boolean isAtEnd() {
        return complete && nextIndex == packets.size();
    }

    /** Wakes blocked threads, so that they check whether their attempt is over. */
    synchronized void wake() {
        notifyAll();
    }

    /** Drops all data, and what the client still sends. */
    synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (replayable) {
            quota.give(bufferedBytes);
        }
        packets.clear();
        bufferedBytes = 0;
        notifyAll();
    }
}
