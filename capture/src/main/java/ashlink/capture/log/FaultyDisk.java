package ashlink.capture.log;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory whose disk fails as it is told: short writes, errors at sync, no space, power
 * loss. For tests of all logs.
 */
public final class FaultyDisk implements Disk {

    private final TreeMap<String, ByteArrayOutputStream> files = new TreeMap<>();
    private final TreeMap<String, Integer> synced = new TreeMap<>();
    private volatile boolean full;
    private volatile boolean syncFails;
    private volatile int shortWriteIn = -1;
    private volatile long delayMs;

    /** No space for anything more. */
    public void full(boolean is) {
        full = is;
    }

    /** Each sync fails. */
    public void syncFails(boolean fails) {
        syncFails = fails;
    }

    /** The write after so many others is cut in half and fails; below 0 none. */
    public void shortWriteIn(int writes) {
        shortWriteIn = writes;
    }

    /** Writes until the short one; below 0 where there is none to come. */
    public int shortWriteIn() {
        return shortWriteIn;
    }

    /** Each write and sync takes so long. */
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
            throw new IOException("no space");
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        files.put(name, bytes);
        synced.put(name, 0);
        return new Appender() {
            @Override
            public void append(byte[] from, int offset, int length) throws IOException {
                pause();
                synchronized (FaultyDisk.this) {
                    if (full) {
                        throw new IOException("no space");
                    }
                    if (shortWriteIn == 0) {
                        shortWriteIn = -1;
                        bytes.write(from, offset, length / 2);
                        throw new IOException("short write");
                    }
                    shortWriteIn = Math.max(-1, shortWriteIn - 1);
                    bytes.write(from, offset, length);
                }
            }

            @Override
            public void sync() throws IOException {
                pause();
                synchronized (FaultyDisk.this) {
                    if (syncFails) {
                        throw new IOException("sync failed");
                    }
                    synced.put(name, bytes.size());
                }
            }

            @Override
            public void close() {}
        };
    }

    private void pause() {
        if (delayMs > 0) {
            try {
                Thread.sleep(delayMs);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /**
     * What may be left after the power went: all that was synced, and of the rest any part, torn or
     * not there.
     */
    public synchronized FaultyDisk afterPowerLoss(SplittableRandom random) throws IOException {
        FaultyDisk left = new FaultyDisk();
        for (String name : files.keySet()) {
            byte[] all = files.get(name).toByteArray();
            int kept =
                    synced.get(name)
                            + (all.length > synced.get(name)
                                    ? random.nextInt(all.length - synced.get(name) + 1)
                                    : 0);
            byte[] bytes = java.util.Arrays.copyOf(all, kept);
            for (int i = synced.get(name); i < kept; i++) {
                bytes[i] = random.nextInt(4) == 0 ? 0 : bytes[i]; // pages that were never written
            }
            left.put(name, bytes);
        }
        return left;
    }

    /** Puts a file there, synced. */
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
