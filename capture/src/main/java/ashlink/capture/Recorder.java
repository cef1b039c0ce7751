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
 * Writes a capture on a dedicated thread, so that the decision thread never waits for the disk.
 * Entries pass through a bounded queue. If the queue is full or the disk fails, entries are
 * dropped, and an {@link Entry.Gap} with their number is written after recovery.
 */
public final class Recorder implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Recorder.class);
    private static final long MAX_FRAME_BYTES = 32 << 10;
    private static final int MAX_BATCH_ENTRIES = 4096;
    private static final long POLL_TIMEOUT_MS = 20;
    private static final long CLOSE_TIMEOUT_MS = 10_000;

    private final Disk disk;
    private final SegmentWriter segmentWriter;
    private final EntryWriter writer;
    private final ArrayBlockingQueue<Entry> queue;
    private final long frameBytes;
    private final long syncIntervalNs;
    private final long retryDelayNs;
    private final Thread writerThread;

    /** Entries dropped since the last gap; while positive, all further entries are dropped. */
    private final AtomicLong dropped = new AtomicLong();

    private final AtomicLong gaps = new AtomicLong();
    private volatile long syncedEntries;
    private volatile boolean closed;

    // Accessed only by the writer thread.
    private long writtenEntries;
    private boolean failing;

    /**
     * Creates a recorder and starts its writer thread.
     *
     * @param disk directory of the capture; closed by the recorder
     * @param boot identifier of the router start, larger than the identifiers of earlier starts
     * @param segmentBytes size at which a segment is closed
     * @param retainedBytes total size above which the oldest segments are deleted
     * @param queueCapacity capacity of the queue in entries
     * @param syncIntervalNs minimum interval between two syncs, in nanoseconds
     * @param retryDelayNs delay after a disk error, in nanoseconds
     * @param maskKey masks an ordering key, so that no key is stored in plain text
     */
    public Recorder(
            Disk disk,
            long boot,
            long segmentBytes,
            long retainedBytes,
            int queueCapacity,
            long syncIntervalNs,
            long retryDelayNs,
            UnaryOperator<String> maskKey) {
        this.disk = disk;
        this.segmentWriter = new SegmentWriter(disk, boot, segmentBytes, retainedBytes);
        this.writer = new EntryWriter(maskKey);
        this.queue = new ArrayBlockingQueue<>(queueCapacity);
        this.frameBytes = Math.min(MAX_FRAME_BYTES, segmentBytes / 2);
        this.syncIntervalNs = syncIntervalNs;
        this.retryDelayNs = retryDelayNs;
        this.writerThread = new Thread(this::run, "capture");
        writerThread.setDaemon(true);
        writerThread.start();
    }

    /** Queues an entry for writing, or drops the entry; never blocks. */
    public void record(Entry entry) {
        // After the first dropped entry, all entries are dropped until a gap is written, so that
        // each gap stands for consecutive entries.
        if (dropped.get() > 0 || !queue.offer(entry)) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of entries synced to disk; each gap counts as one entry. */
    public long synced() {
        return syncedEntries;
    }

    /** Returns the number of dropped entries that are not yet represented by a gap. */
    public long dropped() {
        return dropped.get();
    }

    /** Returns the number of gaps recorded. */
    public long gaps() {
        return gaps.get();
    }

    private void run() {
        long lastSyncNs = System.nanoTime();
        List<Entry> batch = new ArrayList<>();
        while (!closed || !queue.isEmpty() || dropped.get() > 0 && !failing) {
            try {
                batch.clear();
                takeBatch(batch);
                write(batch);
                if (writtenEntries > syncedEntries
                        && System.nanoTime() - lastSyncNs >= syncIntervalNs) {
                    segmentWriter.sync();
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
        closeSegmentWriter();
    }

    /** Takes the queued entries, or a gap if the queue is empty and entries were dropped. */
    private void takeBatch(List<Entry> batch) throws InterruptedException {
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
            writer.startFrame(segmentWriter.startsSegment());
            int frameStart = next;
            while (next < batch.size() && writer.size() < frameBytes) {
                writer.write(batch.get(next));
                next++;
            }
            segmentWriter.append(writer.bytes(), writer.size(), writtenEntries);
            writtenEntries += next - frameStart;
        }
    }

    /** Counts all entries since the last sync as dropped, because they may not be on disk. */
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

    private void closeSegmentWriter() {
        try {
            segmentWriter.close();
            syncedEntries = writtenEntries;
        } catch (IOException e) {
            LOG.warn("capture close failed, last entries may be lost error=\"{}\"", e.toString());
        }
    }

    /** Writes the queued entries, waiting up to ten seconds, and closes the disk. */
    @Override
    public void close() throws IOException {
        closed = true;
        try {
            writerThread.join(CLOSE_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        disk.close();
    }

    /** Stops immediately and discards the queued entries, to simulate a crash. */
    public void kill() throws IOException {
        closed = true;
        queue.clear();
        writerThread.interrupt();
        disk.close();
    }
}
