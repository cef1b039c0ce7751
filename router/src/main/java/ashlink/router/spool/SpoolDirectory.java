package ashlink.router.spool;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Stores the files of a spool in a directory that routers with different names may share. A lock
 * file prevents a second router with the same name from using the directory.
 */
public final class SpoolDirectory implements SpoolFiles {

    private final Path directory;
    private final String router;
    private final String boot;
    private final Pattern fileNamePattern;
    private final FileChannel lockFile;
    private final FileLock lock;

    /**
     * Opens the directory; creates the directory if it does not exist.
     *
     * @param boot text that is unique to this run of the router
     * @throws IOException if another router with the same name uses the directory
     */
    public SpoolDirectory(Path directory, String router, String boot) throws IOException {
        this.directory = directory;
        this.router = router;
        this.boot = boot;
        this.fileNamePattern =
                Pattern.compile(
                        Pattern.quote(router) + "\\.[0-9a-z]+\\.[A-Za-z0-9_-]+\\.[0-9]+\\.page");
        Files.createDirectories(directory);
        lockFile =
                FileChannel.open(
                        directory.resolve(router + ".lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock acquired = null;
        try {
            acquired = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // This process holds the lock; reported like a lock of another process.
        }
        if (acquired == null) {
            lockFile.close();
            throw new IOException(
                    "spool directory "
                            + directory
                            + " is in use by another router with the name "
                            + router);
        }
        lock = acquired;
    }

    @Override
    public void write(String name, byte[] bytes, int length) throws IOException {
        Path file = directory.resolve(name);
        try (FileChannel out =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer remaining = ByteBuffer.wrap(bytes, 0, length);
            while (remaining.hasRemaining()) {
                out.write(remaining);
            }
        } catch (IOException e) {
            Files.deleteIfExists(file);
            throw e;
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(directory.resolve(name));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(directory.resolve(name));
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(directory)) {
            for (Path path : files) {
                if (fileNamePattern.matcher(path.getFileName().toString()).matches()) {
                    names.add(path.getFileName().toString());
                }
            }
        }
        return names;
    }

    @Override
    public String fileName(String statement, int page) {
        // The router name in a statement identifier may not be safe in a file name.
        String localId = statement.substring(statement.lastIndexOf('~') + 1);
        return router + "." + boot + "." + localId + "." + page + ".page";
    }

    @Override
    public boolean isFromThisRun(String name) {
        return name.startsWith(router + "." + boot + ".");
    }

    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
    }
}
