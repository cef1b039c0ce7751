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
 * A spool in a folder, which routers of other names may share; a second router of the same name is
 * told so.
 */
public final class SpoolDirectory implements SpoolFiles {

    private final Path dir;
    private final String router;
    private final String boot;
    private final Pattern pattern;
    private final FileChannel lockFile;
    private final FileLock lock;

    /** Opens the folder, and makes it where it is not there. */
    public SpoolDirectory(Path dir, String router, String boot) throws IOException {
        this.dir = dir;
        this.router = router;
        this.boot = boot;
        this.pattern =
                Pattern.compile(
                        Pattern.quote(router) + "\\.[0-9a-z]+\\.[A-Za-z0-9_-]+\\.[0-9]+\\.page");
        Files.createDirectories(dir);
        lockFile =
                FileChannel.open(
                        dir.resolve(router + ".lock"),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE);
        FileLock held = null;
        try {
            held = lockFile.tryLock();
        } catch (OverlappingFileLockException e) {
            // held within this process: said below
        }
        if (held == null) {
            lockFile.close();
            throw new IOException("another router named " + router + " uses the spool " + dir);
        }
        lock = held;
    }

    @Override
    public void write(String name, byte[] bytes, int length) throws IOException {
        Path file = dir.resolve(name);
        try (FileChannel out =
                FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            ByteBuffer left = ByteBuffer.wrap(bytes, 0, length);
            while (left.hasRemaining()) {
                out.write(left);
            }
        } catch (IOException e) {
            Files.deleteIfExists(file);
            throw e;
        }
    }

    @Override
    public byte[] read(String name) throws IOException {
        return Files.readAllBytes(dir.resolve(name));
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(dir.resolve(name));
    }

    @Override
    public List<String> list() throws IOException {
        List<String> names = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(dir)) {
            for (Path path : files) {
                if (pattern.matcher(path.getFileName().toString()).matches()) {
                    names.add(path.getFileName().toString());
                }
            }
        }
        return names;
    }

    @Override
    public String name(String statement, int page) {
        String own =
                statement.substring(
                        statement.lastIndexOf('~')
                                + 1); // without the router's name, which may have any form
        return router + "." + boot + "." + own + "." + page + ".page";
    }

    @Override
    public boolean isOwn(String name) {
        return name.startsWith(router + "." + boot + ".");
    }

    @Override
    public void close() throws IOException {
        lock.release();
        lockFile.close();
    }
}
