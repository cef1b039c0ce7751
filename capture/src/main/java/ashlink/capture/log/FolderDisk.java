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

/** A real folder. For writing it is locked, so that two processes never write one capture. */
public final class FolderDisk implements Disk {

    private static final String LOCK = "lock";

    private final Path folder;
    private final FileChannel lockChannel;
    private final FileLock lock;

    private FolderDisk(Path folder, FileChannel lockChannel, FileLock lock) {
        this.folder = folder;
        this.lockChannel = lockChannel;
        this.lock = lock;
    }

    /** A folder to read. */
    public static FolderDisk reading(Path folder) {
        return new FolderDisk(folder, null, null);
    }

    /**
     * A folder to write, made where it is not there; an exception tells that another process has
     * it.
     */
    public static FolderDisk writing(Path folder) throws IOException {
        Files.createDirectories(folder);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            // another router of this process has it: told below
        }
        if (lock == null) {
            channel.close();
            throw new IOException(
                    folder + " is being written by another router; each needs a folder of its own");
        }
        return new FolderDisk(folder, channel, lock);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(path -> path.getFileName().toString())
                    .filter(text -> !text.equals(LOCK))
                    .sorted()
                    .toList();
        }
    }

    @Override
    public Appender create(String name) throws IOException {
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE_NEW,
                        StandardOpenOption.WRITE);
        syncFolder();
        return new Appender() {
            @Override
            public void append(byte[] bytes, int from, int length) throws IOException {
                ByteBuffer left = ByteBuffer.wrap(bytes, from, length);
                while (left.hasRemaining()) {
                    channel.write(left);
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

    private void syncFolder() throws IOException {
        try (FileChannel fileChannel = FileChannel.open(folder, StandardOpenOption.READ)) {
            fileChannel.force(true);
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(folder.resolve(name));
    }

    @Override
    public long size(String name) throws IOException {
        return Files.size(folder.resolve(name));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void close() throws IOException {
        if (lock != null) {
            lock.release();
            lockChannel.close();
        }
    }
}
