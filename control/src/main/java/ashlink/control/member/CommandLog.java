package ashlink.control.member;

import ashlink.capture.log.Disk;
import ashlink.capture.log.KeyValueLog;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router's log of commands on disk, in the format of the capture log. {@link #put} returns after
 * the record has been synced, so that a command that was applied survives a crash. Expiry times are
 * stored in milliseconds since 1970. Not thread-safe.
 */
final class CommandLog implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(CommandLog.class);
    private static final long SEGMENT_BYTES = 4L << 20;
    private static final int REWRITE_SLACK_RECORDS = 1_000;

    private final KeyValueLog log;
    private final ReplicatedCommandSet set;

    /** Merges the commands stored on a disk into the set and rewrites the log. */
    CommandLog(Disk disk, ReplicatedCommandSet set, long nowMs) throws IOException {
        this.set = set;
        this.log = new KeyValueLog(disk, SEGMENT_BYTES, nowMs);
        for (String damage :
                log.read(
                        bytes ->
                                read(
                                        new DataInputStream(new ByteArrayInputStream(bytes)),
                                        nowMs))) {
            LOG.error(
                    "command log damaged, later records are recovered from other routers"
                            + " error=\"{}\"",
                    damage);
        }
        rewrite(nowMs);
    }

    private void read(DataInputStream in, long nowMs) throws IOException {
        OperatorCommand command =
                new OperatorCommand(
                        in.readUTF(),
                        in.readUTF(),
                        in.readLong(),
                        Intent.ofCode(in.readByte()),
                        in.readUTF(),
                        in.readUTF());
        set.add(command, in.readLong() - nowMs, nowMs);
    }

    private static byte[] record(OperatorCommand command, long expiresMs) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        out.writeUTF(command.subject());
        out.writeUTF(command.owner());
        out.writeLong(command.revision());
        out.writeByte(command.intent().code());
        out.writeUTF(command.issuer());
        out.writeUTF(command.reason());
        out.writeLong(expiresMs);
        return bytes.toByteArray();
    }

    /** Appends a command; returns after the record has been synced to disk. */
    void put(OperatorCommand command, long ttlMs, long nowMs) throws IOException {
        if (log.written() > REWRITE_SLACK_RECORDS + 4L * set.size()) {
            rewrite(nowMs);
        }
        log.append(record(command, nowMs + ttlMs));
        log.sync();
    }

    /**
     * Replaces the log by the commands of the set; deletes the old log after the new one is synced.
     */
    void rewrite(long nowMs) throws IOException {
        List<byte[]> records = new ArrayList<>();
        for (ReplicatedCommandSet.CommandWithTtl entry : set.commands(nowMs)) {
            records.add(record(entry.command(), nowMs + entry.ttlMs()));
        }
        log.rewrite(records);
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
