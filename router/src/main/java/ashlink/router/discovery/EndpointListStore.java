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
 * The last list of engines in a file: magic, version, length, checksum (CRC32C), entries. Written
 * beside the old one and moved into its place, so that a crash leaves one of the two whole; a file
 * that is not whole is told apart and not used. Start times are kept as milliseconds since 1970,
 * since the router's clock starts anew.
 */
public final class EndpointListStore {

    private static final int MAGIC = 0x41534c4b;
    private static final int VERSION = 1;
    private static final String STORED_REMOVED = "GONE";
    private static final int HEADER_BYTES = 16;
    private static final int MOST_ENTRIES = 100_000;
    private static final long MS = 1_000_000L;

    private final Path file;

    /** Keeps the list in that file. */
    public EndpointListStore(Path file) {
        this.file = file;
    }

    /** The list kept, empty where there is none; an exception tells why a file cannot be used. */
    public List<Endpoint> load(long nowNs, long nowEpochMs) throws IOException {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (NoSuchFileException e) {
            return List.of();
        }
        ByteBuffer header = ByteBuffer.wrap(bytes);
        if (bytes.length < HEADER_BYTES || header.getInt() != MAGIC || header.getInt() != VERSION) {
            throw new IOException(file + " is no list of engines of version " + VERSION);
        }
        int length = header.getInt();
        int sum = header.getInt();
        if (length != bytes.length - HEADER_BYTES || checksum(bytes, HEADER_BYTES, length) != sum) {
            throw new IOException(file + " is torn or damaged");
        }
        DataInputStream in =
                new DataInputStream(new ByteArrayInputStream(bytes, HEADER_BYTES, length));
        int count = in.readInt();
        if (count < 0 || count > MOST_ENTRIES) {
            throw new IOException(file + " says that it holds " + count + " engines");
        }
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String engine = in.readUTF();
            EndpointState phase = state(in.readUTF());
            String zone = in.readUTF();
            String kind = in.readUTF();
            long cell = in.readLong();
            long startedMs = in.readLong();
            long started = startedMs == 0 ? 0 : Math.max(1, nowNs - (nowEpochMs - startedMs) * MS);
            entries.add(new Endpoint(engine, phase, zone, kind, cell, started));
        }
        return entries;
    }

    /** Keeps a list; when this returns it is on the disk. */
    public void save(List<Endpoint> entries, long nowNs, long nowEpochMs) throws IOException {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(payload);
        out.writeInt(entries.size());
        for (Endpoint endpoint : entries) {
            out.writeUTF(endpoint.engine());
            out.writeUTF(storedName(endpoint.state()));
            out.writeUTF(endpoint.zone());
            out.writeUTF(endpoint.kind());
            out.writeLong(endpoint.cell());
            out.writeLong(
                    endpoint.startedNs() == 0
                            ? 0
                            : nowEpochMs - (nowNs - endpoint.startedNs()) / MS);
        }
        byte[] bytes = payload.toByteArray();
        ByteBuffer whole = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        whole.putInt(MAGIC)
                .putInt(VERSION)
                .putInt(bytes.length)
                .putInt(checksum(bytes, 0, bytes.length))
                .put(bytes)
                .flip();
        Files.createDirectories(file.toAbsolutePath().getParent());
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        beside,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.WRITE,
                        StandardOpenOption.TRUNCATE_EXISTING)) {
            while (whole.hasRemaining()) {
                channel.write(whole);
            }
            channel.force(true);
        }
        Files.move(
                beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        try (FileChannel folder =
                FileChannel.open(file.toAbsolutePath().getParent(), StandardOpenOption.READ)) {
            folder.force(true);
        }
    }

    /** The name under which a state is stored; files of all versions have the same names. */
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
