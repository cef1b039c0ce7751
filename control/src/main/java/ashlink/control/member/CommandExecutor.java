package ashlink.control.member;

import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Applies the commands in force to this router. A stop command is executed only once: a router that
 * is started again while the command is still in force keeps running. Not thread-safe.
 */
final class CommandExecutor {

    private static final String ENGINE_PREFIX = OperatorCommand.engine("");

    private final String subject;
    private final RouterControl router;
    private final ReplicatedCommandSet commands;
    private final Set<OperatorCommand> executedStops = new HashSet<>();

    /** Creates an executor; stop commands already in the set count as executed. */
    CommandExecutor(String name, RouterControl router, ReplicatedCommandSet commands, long nowMs) {
        this.subject = OperatorCommand.router(name);
        this.router = router;
        this.commands = commands;
        commands.commands(nowMs).stream()
                .filter(entry -> entry.command().intent() == Intent.STOP)
                .forEach(entry -> executedStops.add(entry.command()));
    }

    /** Applies the commands that are in force at the given time. */
    void apply(long nowMs) {
        Set<String> drainedEngines = new HashSet<>();
        Intent ownIntent = Intent.NONE;
        for (Map.Entry<String, Intent> entry : commands.intents(nowMs).entrySet()) {
            if (entry.getKey().startsWith(ENGINE_PREFIX)) {
                drainedEngines.add(entry.getKey().substring(ENGINE_PREFIX.length()));
            } else if (entry.getKey().equals(subject)) {
                ownIntent = entry.getValue();
            }
        }
        router.setDrainedEngines(drainedEngines);
        boolean stopping = ownIntent == Intent.STOP && isStopPending(nowMs);
        router.setRejecting(ownIntent == Intent.DRAIN || stopping);
        if (stopping) {
            commands.commands(nowMs).forEach(entry -> executedStops.add(entry.command()));
            router.stop();
        }
    }

    private boolean isStopPending(long nowMs) {
        return commands.commands(nowMs).stream()
                .anyMatch(
                        entry ->
                                entry.command().subject().equals(subject)
                                        && entry.command().intent() == Intent.STOP
                                        && entry.ttlMs() > 0
                                        && !executedStops.contains(entry.command()));
    }
}
