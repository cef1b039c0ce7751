package ashlink.router.frontend;

import ashlink.router.core.Attempt;
import ashlink.wire.Quota;
import java.util.ArrayList;
import java.util.List;

/**
 * The data of an insert on its way from the client to an engine. All of it is kept while it is
 * within the limit, so that another attempt can have it; past the limit only what was not sent yet
 * is kept, a window at a time, and there is no other attempt.
 */
public final class InsertFeed {

    private static final long WINDOW_BYTES = 4 << 20;

    private final long mostKept;
    private final Quota quota;
    private final List<byte[]> packets = new ArrayList<>();
    private long kept;
    private long unsent;
    private int next;
    private boolean complete;
    private boolean replayable = true;
    private boolean closed;

    InsertFeed(long mostKept, Quota quota) {
        this.mostKept = mostKept;
        this.quota = quota;
    }

    /**
     * Takes the client's next packet, {@code last} for the one that ends the data; waits while the
     * window is full.
     */
    public synchronized void put(byte[] packet, boolean last) throws InterruptedException {
        if (replayable && (kept + packet.length > mostKept || !quota.take(packet.length))) {
            replayable = false;
            dropSent();
            quota.give(kept);
        }
        while (!closed && !replayable && unsent > 0 && unsent + packet.length > WINDOW_BYTES) {
            wait();
        }
        if (closed) {
            return;
        }
        packets.add(packet);
        kept += packet.length;
        unsent += packet.length;
        complete = last;
        notifyAll();
    }

    private void dropSent() {
        for (byte[] p : packets.subList(0, next)) {
            kept -= p.length;
        }
        packets.subList(0, next).clear();
        next = 0;
    }

    /** Starts over for another attempt; false where a part is no longer kept. */
    synchronized boolean rewind() {
        if (!replayable || closed) {
            return false;
        }
        next = 0;
        unsent = kept;
        return true;
    }

    /** The next packet for an attempt; null once the feed is closed or the attempt over. */
    synchronized byte[] next(Attempt attempt) throws InterruptedException {
        while (!closed && !attempt.isOver() && next == packets.size()) {
            wait();
        }
        if (closed || attempt.isOver()) {
            return null;
        }
        byte[] p = packets.get(next);
        unsent -= p.length;
        if (replayable) {
            next++;
        } else {
            packets.remove(next);
            kept -= p.length;
            notifyAll();
        }
        return p;
    }

    /** True if what {@link #next} gave last ends the data. */
    synchronized boolean isAtEnd() {
        return complete && next == packets.size();
    }

    /** Wakes who waits, to look whether its attempt is over. */
    synchronized void wake() {
        notifyAll();
    }

    /** Lets go of all data; what still comes is dropped. */
    synchronized void close() {
        if (!closed) {
            closed = true;
            if (replayable) {
                quota.give(kept);
            }
            packets.clear();
            kept = 0;
            notifyAll();
        }
    }
}
