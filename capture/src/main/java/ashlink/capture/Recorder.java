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
 * Writes a capture on a thread of its own, so that the decision thread never waits for the disk.
 * Entries pass through a bounded queue; where it is full, or the disk fails, they are dropped, and
 * an {@link Entry.Gap} with their number is written once the disk works again.
 */
public final class Recorder implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final long MAX_FRAME_BYTES = 32 << 10;
    private static final int MAX_BATCH_ENTRIES = 4096;
    private static final long POLL_TIMEOUT_MS = 20;
    private static final long CLOSE_TIMEOUT_MS = 10_000;

    private final Disk disk;
    private final SegmentWriter log;
    private final EntryWriter writer;
    private final ArrayBlockingQueue<Entry> queue;
    private final long frameBytes;
    private final long syncIntervalNs;
    private final long retryDelayNs;
    private final Thread thread;

    /** Entries dropped since the last gap; while it is positive, all further ones are dropped. */
    private final AtomicLong dropped = new AtomicLong();

    private final AtomicLong gaps = new AtomicLong();
    private volatile long syncedEntries;
    private volatile boolean closed;

    // Only the writing thread uses these.
    private long writtenEntries;
    private boolean failing;

    /**
     * Starts a recorder.
     *
     * @param disk directory of the capture; the recorder closes it
     * @param boot identifier of the start of the router; larger than those of earlier starts
     * @param segmentBytes size at which a segment is closed
     * @param keptBytes total size beyond which the oldest segments are deleted
     * @param queueBound capacity of the queue in entries
     * @param syncNs interval between two syncs
     * @param retryNs delay after an error of the disk
     * @param hideKey replaces each ordering key, so that none is stored
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
        this.frameBytes = Math.min(MAX_FRAME_BYTES, segmentBytes / 2);
        this.syncIntervalNs = syncNs;
        this.retryDelayNs = retryNs;
        this.thread = new Thread(this::run, "capture");
        thread.setDaemon(true);
        thread.start();
    }

    /** Records an entry, or drops it; never blocks. */
    public void record(Entry entry) {
        // Once an entry is dropped, all later ones are, so that the gap is one run of entries.
        if (dropped.get() > 0 || !queue.offer(entry)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of entries that survive a crash, each gap counted as one entry. */
    public long synced() {
        return syncedEntries;
    }

    /** Returns the number of dropped entries that no gap accounts for yet. */
    public long dropped() {
        return dropped.get();
    }

    /** Returns the number of gaps. */
    public long gaps() {
        return gaps.get();
    }

    private void run() {
        long lastSyncNs = System.nanoTime();
        List<Entry> batch = new ArrayList<>();
        while (!closed || !queue.isEmpty() || dropped.get() > 0 && !failing) {
            try {
                batch.clear();
                fill(batch);
                write(batch);
                if (writtenEntries > syncedEntries
                        && System.nanoTime() - lastSyncNs >= syncIntervalNs) {
                    log.sync();
                    syncedEntries = writtenEntries;
                    lastSyncNs = System.nanoTime();
                }
                failing = false;
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                handleDiskFailure(batch, e);
            }
        }
        closeLog();
    }

    /** Takes the queued entries, or a gap once the queue is empty and entries were dropped. */
    private void fill(List<Entry> batch) throws InterruptedException {
        Entry first = queue.poll(POLL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        if (first != null) {
            batch.add(first);
            queue.drainTo(batch, MAX_BATCH_ENTRIES);
        } else if (dropped.get() > 0) {
            long missing = dropped.getAndSet(0);
            gaps.incrementAndGet();
            batch.add(new Entry.Gap(missing));
        }
    }

    private void write(List<Entry> batch) throws IOException {
        int next = 0;
        while (next < batch.size()) {
            writer.startFrame(log.startsSegment());
            int frameStart = next;
            while (next < batch.size() && writer.size() < frameBytes) {
                writer.write(batch.get(next));
                next++;
            }
            log.append(writer.bytes(), writer.size(), writtenEntries);
            writtenEntries += next - frameStart;
        }
    }

    /** Counts everything since the last sync as dropped, for it may not be on the disk. */
    private void handleDiskFailure(List<Entry> batch, IOException failure) {
        if (!failing) {
            LOG.warn("capture write failed, dropping entries error=\"{}\"", failure.toString());
        }
        failing = true;
        dropped.addAndGet(Math.max(1, writtenEntries - syncedEntries + batch.size()));
        writtenEntries = syncedEntries;
        if (!closed) {
            try {
                TimeUnit.NANOSECONDS.sleep(retryDelayNs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private void closeLog() {
        try {
            log.close();
            syncedEntries = writtenEntries;
        } catch (IOException e) {
            LOG.warn("capture close failed, last entries may be lost error=\"{}\"", e.toString());
        }
    }

    /** Writes the queued entries and closes the disk; waits for up to ten seconds. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            thread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disk.close();
    }

    /** Stops at once and loses the queued entries, like a crash. */
    public void kill() throws IOException {
        closed = true;
        queue.clear();
        thread.interrupt();
        disk.close();
    }
}
