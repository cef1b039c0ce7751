package ashlink.capture.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * In-memory directory for tests with fault injection: short writes, sync errors, a full disk,
 * delays and power loss. Thread-safe.
 */
public final class FaultyDisk implements Disk {

    private final TreeMap<String, ByteArrayOutputStream> files = new TreeMap<>();
    private final TreeMap<String, Integer> synced = new TreeMap<>();
    private volatile boolean full;
    private volatile boolean syncFails;
    private volatile int shortWriteIn = -1;
    private volatile long delayMs;

    /** Sets whether writes and the creation of files fail for lack of space. */
    public void full(boolean enabled) {
        full = enabled;
    }

    /** Sets whether syncs fail. */
    public void syncFails(boolean enabled) {
        syncFails = enabled;
    }

    /** Makes one write fail halfway after {@code writes} complete writes; negative disables it. */
    public void shortWriteIn(int writes) {
        shortWriteIn = writes;
    }

    /** Returns the number of writes left before the short write; negative if none is due. */
    public int shortWriteIn() {
        return shortWriteIn;
    }

    /** Sets the delay of each write and sync in milliseconds. */
    public void delayMs(long ms) {
        delayMs = ms;
    }

    @Override
    public synchronized List<String> list() {
        return new ArrayList<>(files.keySet());
    }

    @Override
    public synchronized Appender create(String name) throws IOException {
        if (full || files.containsKey(name)) {
            throw new IOException("cannot create " + name + ": disk full or file exists");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        files.put(name, bytes);
        synced.put(name, 0);
        return new Appender() {
            @Override
            public void append(byte[] from, int offset, int length) throws IOException {
                delay();
                synchronized (FaultyDisk.this) {
                    if (full) {
                        throw new IOException("cannot append to " + name + ": disk full");
                    }
                    if (shortWriteIn == 0) {
                        shortWriteIn = -1;
                        bytes.write(from, offset, length / 2);
                        throw new IOException("short write to " + name);
                    }
                    shortWriteIn = Math.max(-1, shortWriteIn - 1);
                    bytes.write(from, offset, length);
                }
            }

            @Override
            public void sync() throws IOException {
                delay();
                synchronized (FaultyDisk.this) {
                    if (syncFails) {
                        throw new IOException("cannot sync " + name);
                    }
                    synced.put(name, bytes.size());
                }
            }

            @Override
            public void close() {}
        };
    }

    private void delay() {
        if (delayMs > 0) {
            try {
                Thread.sleep(delayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * Returns a possible state of the disk after a power loss: all synced bytes and a random part
     * of the bytes after them, some of which are replaced with zeros.
     */
    public synchronized FaultyDisk afterPowerLoss(SplittableRandom random) throws IOException {
        FaultyDisk survivor = new FaultyDisk();
        for (String name : files.keySet()) {
            byte[] all = files.get(name).toByteArray();
            int length =
                    synced.get(name)
                            + (all.length > synced.get(name)
                                    ? random.nextInt(all.length - synced.get(name) + 1)
                                    : 0);
            byte[] bytes = java.util.Arrays.copyOf(all, length);
            for (int i = synced.get(name); i < length; i++) {
                // A page that was never written to disk reads as zeros.
                bytes[i] = random.nextInt(4) == 0 ? 0 : bytes[i];
            }
            survivor.put(name, bytes);
        }
        return survivor;
    }

    /** Creates or replaces a file, whose bytes count as synced. */
    public synchronized void put(String name, byte[] bytes) throws IOException {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        stream.write(bytes);
        files.put(name, stream);
        synced.put(name, bytes.length);
    }

    @Override
    public synchronized byte[] read(String name) {
        return files.get(name).toByteArray();
    }

    @Override
    public synchronized long size(String name) {
        return files.get(name).size();
    }

    @Override
    public synchronized void delete(String name) {
        files.remove(name);
        synced.remove(name);
    }

    @Override
    public void close() {}
}
