package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.events.EntryWriter;
import ashlink.capture.log.Disk;
import ashlink.capture.log.SegmentWriter;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes a capture beside the decisions. They never wait for it: entries go through a bounded
 * queue, and where that is full, or the disk fails, entries are dropped and a gap tells how many,
 * once the disk works again.
 */
public final class Recorder implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final long FRAME_BYTES = 32 << 10;
    private static final long POLL_MS = 20;

    private final Disk disk;
    private final SegmentWriter log;
    private final EntryWriter writer;
    private final ArrayBlockingQueue<Entry> queue;
    private final long frameBytes;
    private final long syncNs;
    private final long retryNs;
    private final Thread thread;
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong gaps = new AtomicLong();
    private volatile long synced;
    private volatile boolean closed;
    private long written;
    private long entries;
    private boolean failing;

    /**
     * A recorder on that disk.
     *
     * @param queueBound entries that wait for the disk at most
     * @param syncNs longest time between an entry and its sync
     * @param retryNs pause after an error of the disk
     */
    public Recorder(
            Disk disk,
            long boot,
            long segmentBytes,
            long keptBytes,
            int queueBound,
            long syncNs,
            long retryNs,
            UnaryOperator<String> hideKey) {
        this.disk = disk;
        this.log = new SegmentWriter(disk, boot, segmentBytes, keptBytes);
        this.writer = new EntryWriter(hideKey);
        this.queue = new ArrayBlockingQueue<>(queueBound);
        this.frameBytes = Math.min(FRAME_BYTES, segmentBytes / 2);
        this.syncNs = syncNs;
        this.retryNs = retryNs;
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /** Takes an entry; never waits. */
    public void record(Entry entry) {
        if (dropped.get() > 0 || !queue.offer(entry)) {
            dropped.incrementAndGet(); // from the first that is missing on, up to the gap that
            // tells of it
        }
    }

    /** Entries that are on the disk for certain, counted from the start with gaps as one each. */
    public long synced() {
        return synced;
    }

    /** Entries that were dropped and are not told of yet. */
    public long dropped() {
        return dropped.get();
    }

    /** Gaps so far. */
    public long gaps() {
        return gaps.get();
    }

    // ---- The writer's thread
    private void run() {
        long lastSync = System.nanoTime();
        List<Entry> batch = new ArrayList<>();
        while (!closed || !queue.isEmpty() || dropped.get() > 0 && !failing) {
            try {
                batch.clear();
                Entry first = queue.poll(POLL_MS, TimeUnit.MILLISECONDS);
                if (first != null) {
                    batch.add(first);
                    queue.drainTo(batch, 4096);
                } else if (dropped.get() > 0) {
                    long missing = dropped.getAndSet(0);
                    gaps.incrementAndGet();
                    batch.add(new Entry.Gap(missing));
                }
                write(batch);
                if (written > synced && System.nanoTime() - lastSync >= syncNs) {
                    log.sync();
                    synced = written;
                    lastSync = System.nanoTime();
                }
                failing = false;
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                lost(batch, e);
            }
        }
        try {
            log.close();
            synced = written;
        } catch (IOException e) {
            LOG.warn("capture: the last entries may be missing: {}", e.toString());
        }
    }

    private void write(List<Entry> batch) throws IOException {
        int next = 0;
        while (next < batch.size()) {
            writer.startFrame(log.startsSegment());
            int from = next;
            while (next < batch.size() && writer.size() < frameBytes) {
                writer.write(batch.get(next++));
            }
            log.append(writer.bytes(), writer.size(), entries);
            entries += next - from;
            written = entries;
        }
    }

    /** Nothing since the last sync is believed: it counts as dropped, and a gap will tell. */
    private void lost(List<Entry> batch, IOException failure) {
        if (!failing) {
            LOG.warn("capture: the disk fails, entries are dropped: {}", failure.toString());
        }
        failing = true;
        dropped.addAndGet(Math.max(1, written - synced + batch.size()));
        written = synced;
        entries = synced;
        if (!closed) {
            try {
                TimeUnit.NANOSECONDS.sleep(retryNs);
            } catch (InterruptedException ie) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Writes what waits, and ends. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join(TimeUnit.SECONDS.toMillis(10));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disk.close();
    }

    /** Ends at once, as a crash would. */
    public void kill() throws IOException {
        closed = true;
        queue.clear();
        thread.interrupt();
        disk.close();
    }
}
