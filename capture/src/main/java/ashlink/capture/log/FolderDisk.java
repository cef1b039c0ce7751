package ashlink.capture.log;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** Directory of the file system, protected by a file lock while open for writing. */
public final class FolderDisk implements Disk {

    private static final String LOCK_FILE = "lock";

    private final Path directory;
    private final FileChannel lockChannel;
    private final FileLock lock;

    private FolderDisk(Path directory, FileChannel lockChannel, FileLock lock) {
        this.directory = directory;
        this.lockChannel = lockChannel;
        this.lock = lock;
    }

    /** Opens a directory for reading, without locking the directory. */
    public static FolderDisk reading(Path directory) {
        return new FolderDisk(directory, null, null);
    }

    /**
     * Opens a directory for writing and locks it; creates the directory if it does not exist.
     *
     * @throws IOException if another writer holds the lock of the directory
     */
    public static FolderDisk writing(Path directory) throws IOException {
        Files.createDirectories(directory);
        FileChannel channel =
                FileChannel.open(
                        directory.resolve(LOCK_FILE),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process already holds the lock; reported like a lock of another process.
        }
        if (lock == null) {
            channel.close();
            throw new IOException(
                    "directory "
                            + directory
                            + " is in use by another router: each router needs its own directory");
        }
        return new FolderDisk(directory, channel, lock);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(name -> !name.equals(LOCK_FILE))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public Appender create(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        directory.resolve(name),
                        StandardOpenOption.CREATE_NEW,
                        StandardOpenOption.WRITE);
        syncDirectory();
        return new Appender() {
            @Override
            public void append(byte[] bytes, int from, int length) throws IOException {
                ByteBuffer remaining = ByteBuffer.wrap(bytes, from, length);
                while (remaining.hasRemaining()) {
                    channel.write(remaining);
                }
            }

            @Override
            public void sync() throws IOException {
                channel.force(false);
            }

            @Override
            public void close() throws IOException {
                channel.close();
            }
        };
    }

    private void syncDirectory() throws IOException {
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(directory.resolve(name));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.release();
            lockChannel.close();
        }
    }
}
