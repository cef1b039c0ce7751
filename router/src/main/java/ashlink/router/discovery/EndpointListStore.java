package ashlink.router.discovery;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointState;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Stores the last endpoint list in a file with a magic number, a version, a length, a checksum
 * (CRC32C) and the entries. A save writes a new file and renames it to the old name, so that one of
 * the two versions is complete after a crash; a truncated or corrupt file is detected and not used.
 * Start times are stored in milliseconds since 1970, because the clock of the router is reset when
 * the process starts.
 */
public final class EndpointListStore {

    private static final int MAGIC = 0x41534c4b;
    private static final int VERSION = 1;
    private static final int HEADER_BYTES = 16;
    private static final int MAX_ENTRIES = 100_000;
    private static final long NS_PER_MS = 1_000_000L;

    /** Stored name of {@link EndpointState#REMOVED}, the same in files of all versions. */
    private static final String STORED_REMOVED = "GONE";

    private final Path file;

    /** Creates a store that uses the given file, which may be absent. */
    public EndpointListStore(Path file) {
        this.file = file;
    }

    /**
     * Reads the stored list.
     *
     * @param nowNs current time on the clock of the router
     * @param nowEpochMs current time in milliseconds since 1970
     * @return the list, empty if the file is absent
     * @throws IOException if the file cannot be read, is truncated or corrupt, or has another
     *     version
     */
    public List<Endpoint> load(long nowNs, long nowEpochMs) throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return List.of();
        }
        int length = checkHeader(bytes);
        DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(bytes, HEADER_BYTES, length));
        int count = in.readInt();
        if (count < 0 || count > MAX_ENTRIES) {
            throw new IOException(
                    "invalid number of entries "
                            + count
                            + " in endpoint list "
                            + file
                            + ": at most "
                            + MAX_ENTRIES);
        }
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            endpoints.add(readEndpoint(in, nowNs, nowEpochMs));
        }
        return endpoints;
    }

    /**
     * Checks the magic number, version, length and checksum; returns the length of the entries in
     * bytes.
     */
    private int checkHeader(byte[] bytes) throws IOException {
        ByteBuffer header = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES || header.getInt() != MAGIC || header.getInt() != VERSION) {
            throw new IOException(
                    "invalid header of endpoint list " + file + ": expected version " + VERSION);
        }
        int length = header.getInt();
        int checksum = header.getInt();
        if (length != bytes.length - HEADER_BYTES
                || checksum(bytes, HEADER_BYTES, length) != checksum) {
            throw new IOException("endpoint list " + file + " is truncated or corrupt");
        }
        return length;
    }

    private static Endpoint readEndpoint(DataInputStream in, long nowNs, long nowEpochMs)
            throws IOException {
        String engine = in.readUTF();
        EndpointState state = state(in.readUTF());
        String zone = in.readUTF();
        String kind = in.readUTF();
        long cell = in.readLong();
        long startedEpochMs = in.readLong();
        long startedNs =
                startedEpochMs == 0
                        ? 0
                        : Math.max(1, nowNs - (nowEpochMs - startedEpochMs) * NS_PER_MS);
        return new Endpoint(engine, state, zone, kind, cell, startedNs);
    }

    /**
     * Stores a list durably: the data is on disk when this method returns.
     *
     * @param nowNs current time on the clock of the router
     * @param nowEpochMs current time in milliseconds since 1970
     */
    public void save(List<Endpoint> endpoints, long nowNs, long nowEpochMs) throws IOException {
        byte[] entries = encode(endpoints, nowNs, nowEpochMs);
        ByteBuffer content = ByteBuffer.allocate(HEADER_BYTES + entries.length);
        content.putInt(MAGIC)
                .putInt(VERSION)
                .putInt(entries.length)
                .putInt(checksum(entries, 0, entries.length))
                .put(entries)
                .flip();
        Path directory = file.toAbsolutePath().getParent();
        Files.createDirectories(directory);
        Path newFile = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        newFile,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (content.hasRemaining()) {
                channel.write(content);
            }
            channel.force(true);
        }
        Files.move(
                newFile, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        // The rename is durable only after the directory is synced.
        try (FileChannel channel = FileChannel.open(directory, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    private static byte[] encode(List<Endpoint> endpoints, long nowNs, long nowEpochMs)
            throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeInt(endpoints.size());
        for (Endpoint endpoint : endpoints) {
            out.writeUTF(endpoint.engine());
            out.writeUTF(storedName(endpoint.state()));
            out.writeUTF(endpoint.zone());
            out.writeUTF(endpoint.kind());
            out.writeLong(endpoint.cell());
            out.writeLong(
                    endpoint.startedNs() == 0
                            ? 0
                            : nowEpochMs - (nowNs - endpoint.startedNs()) / NS_PER_MS);
        }
        return bytes.toByteArray();
    }

    private static String storedName(EndpointState state) {
        return state == EndpointState.REMOVED ? STORED_REMOVED : state.name();
    }

    private static EndpointState state(String storedName) {
        return storedName.equals(STORED_REMOVED)
                ? EndpointState.REMOVED
                : EndpointState.valueOf(storedName);
    }

    private static int checksum(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
