package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.wire.Quota;
import java.util.ArrayList;
import java.util.List;

/**
 * Buffers the data of an insert between the client and an engine. While the data is within the
 * limit, all of it is kept, so that a retry can send it again. Beyond the limit only unsent data is
 * kept, up to a window, and no retry is possible. Thread-safe: the thread of the client adds
 * packets, and the thread of the current attempt removes them.
 */
public final class InsertFeed {

    /**
     * Maximum number of unsent bytes once the data cannot be replayed; the client waits while the
     * window is full.
     */
    private static final long WINDOW_BYTES = 4 << 20;

    private final long maxReplayBytes;
    private final Quota quota;

    // Fields guarded by this.
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
     * Appends the next packet of the client; blocks while the window is full.
     *
     * @param last whether the packet ends the data
     */
    public synchronized void put(byte[] packet, boolean last) throws InterruptedException {
        if (replayable
                && (bufferedBytes + packet.length > maxReplayBytes
                        || !quota.reserve(packet.length))) {
            replayable = false;
            // Releases the sent packets as well, whose bytes were reserved like the others.
            quota.release(bufferedBytes);
            discardSent();
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

    private void discardSent() {
        List<byte[]> sent = packets.subList(0, nextIndex);
        for (byte[] packet : sent) {
            bufferedBytes -= packet.length;
        }
        sent.clear();
        nextIndex = 0;
    }

    /**
     * Restarts at the first packet for another attempt; returns false if a part of the data is no
     * longer buffered.
     */
    synchronized boolean rewind() {
        if (!replayable || closed) {
            return false;
        }
        nextIndex = 0;
        unsentBytes = bufferedBytes;
        return true;
    }

    /**
     * Returns the next packet; blocks until one is available.
     *
     * @return null if the feed is closed or the attempt is over
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

    /** Returns whether the packet that {@link #next} returned last ends the data. */
    synchronized boolean isAtEnd() {
        return complete && nextIndex == packets.size();
    }

    /** Wakes blocked threads, so that they check whether their attempt is over. */
    synchronized void wake() {
        notifyAll();
    }

    /** Discards all data, including the packets that the client sends later. */
    synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (replayable) {
            quota.release(bufferedBytes);
        }
        packets.clear();
        bufferedBytes = 0;
        notifyAll();
    }
}
