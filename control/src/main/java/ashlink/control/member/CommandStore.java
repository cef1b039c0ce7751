package ashlink.control.member;

import ashlink.capture.log.Disk;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The commands of a router, in memory and in the log on disk. A command whose write fails is still
 * in force, but is not durable until the log has been rewritten. Times are in milliseconds of the
 * local wall clock. Not thread-safe.
 */
final class CommandStore implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(CommandStore.class);
    private static final int MAX_COMMANDS = 1_000;
    private static final int MAX_RECEIVED_TIMES = 2 * MAX_COMMANDS;
    private static final long DAY_MS = 86_400_000L;
    private static final long MAX_TTL_MS = 30 * DAY_MS;
    private static final long TOMBSTONE_MS = 60 * DAY_MS;

    private final ReplicatedCommandSet commands =
            new ReplicatedCommandSet(MAX_COMMANDS, MAX_TTL_MS, TOMBSTONE_MS);
    private final CommandLog log;
    private final Map<OperatorCommand, Long> receivedMs = new HashMap<>();
    private boolean logFailed;

    /** Creates a store with the commands in the log on a disk. */
    CommandStore(Disk disk, long nowMs) throws IOException {
        this.log = new CommandLog(disk, commands, nowMs);
    }

    /** Returns the commands in memory. */
    ReplicatedCommandSet commands() {
        return commands;
    }

    /** Returns the time at which this process first received each command. */
    Map<OperatorCommand, Long> receivedMs() {
        return receivedMs;
    }

    /** Returns whether all commands are on disk. */
    boolean isDurable() {
        return !logFailed;
    }

    /**
     * Merges commands and syncs each new one to disk; returns the commands that changed the set.
     */
    List<CommandWithTtl> merge(List<CommandWithTtl> received, long nowMs) {
        List<CommandWithTtl> changed = new ArrayList<>();
        for (CommandWithTtl entry : received) {
            if (commands.add(entry.command(), entry.ttlMs(), nowMs)) {
                persist(entry, nowMs);
                receivedMs.put(entry.command(), nowMs);
                changed.add(entry);
            }
        }
        if (receivedMs.size() > MAX_RECEIVED_TIMES) {
            receivedMs.clear();
        }
        return changed;
    }

    private void persist(CommandWithTtl entry, long nowMs) {
        try {
            log.put(entry.command(), entry.ttlMs(), nowMs);
        } catch (IOException e) {
            if (!logFailed) {
                LOG.error("command log write failed durable=false error=\"{}\"", e.toString());
            }
            logFailed = true;
        }
    }

    /** Rewrites the log if an earlier write failed. */
    void retryPersist(long nowMs) {
        if (!logFailed) {
            return;
        }
        try {
            log.rewrite(nowMs);
            logFailed = false;
            LOG.info("command log rewritten durable=true");
        } catch (IOException e) {
            LOG.debug("command log rewrite failed durable=false error=\"{}\"", e.toString());
        }
    }

    @Override
    public void close() throws IOException {
        log.close();
    }
}
