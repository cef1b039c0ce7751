package ashlink.fleet.command;

import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Simulates the dissemination of commands among many routers whose clocks differ, over links that
 * delay and lose messages. Time is simulated; all random choices are determined by a seed.
 */
final class DisseminationSimulation {

    private static final long DAY_MS = 86_400_000L;

    private record Event(long timeMs, long sequence, Runnable action) {}

    private static final class Router {
        final ReplicatedCommandSet set = new ReplicatedCommandSet(1_000, 30 * DAY_MS, 60 * DAY_MS);
        final CommandDisseminator disseminator;
        final long clockOffsetMs;
        long receivedMs = -1;

        Router(long seed, long clockOffsetMs) {
            this.disseminator = new CommandDisseminator(set, seed);
            this.clockOffsetMs = clockOffsetMs;
        }
    }

    final Map<String, Router> routers = new LinkedHashMap<>();
    final Set<String> dead = new HashSet<>();
    final SplittableRandom random;
    final double loss;
    BiPredicate<String, String> linkWorks = (from, to) -> true;
    long nowMs = 1L << 40;
    long messages;
    private long nextSequence;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    java.util.Comparator.comparingLong(Event::timeMs)
                            .thenComparingLong(Event::sequence));

    DisseminationSimulation(int count, double loss, long seed) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        for (int i = 0; i < count; i++) {
            String name = "r" + i;
            routers.put(name, new Router(seed + i, random.nextLong(20 * 60_000) - 10 * 60_000));
            schedule(random.nextInt(1_000), () -> runAntiEntropy(name));
        }
    }

    private void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, nextSequence++, action));
    }

    private List<String> peers(String router) {
        List<String> peers = new ArrayList<>(routers.keySet());
        peers.remove(router);
        return peers;
    }

    private void runAntiEntropy(String router) {
        if (!dead.contains(router)) {
            send(router, routers.get(router).disseminator.startAntiEntropy(peers(router)));
        }
        schedule(1_000, () -> runAntiEntropy(router));
    }

    private void send(String from, List<CommandDisseminator.Transmission> transmissions) {
        for (CommandDisseminator.Transmission transmission : transmissions) {
            messages++;
            if (random.nextDouble() >= loss && linkWorks.test(from, transmission.peer())) {
                schedule(1 + random.nextInt(10), () -> deliver(from, transmission));
            }
        }
    }

    private void deliver(String from, CommandDisseminator.Transmission transmission) {
        Router router = routers.get(transmission.peer());
        if (dead.contains(transmission.peer())) {
            return;
        }
        if (transmission instanceof CommandDisseminator.Transmission.SendCommands sendCommands) {
            receive(transmission.peer(), sendCommands.commands(), from);
        } else if (transmission instanceof CommandDisseminator.Transmission.SendDigest sendDigest) {
            send(
                    transmission.peer(),
                    router.disseminator.onDigest(
                            from,
                            sendDigest.digest(),
                            sendDigest.reply(),
                            nowMs + router.clockOffsetMs));
        }
    }

    /**
     * Delivers commands to a router.
     *
     * @param from the sending peer; empty if an operator submitted the commands
     */
    void receive(String name, List<CommandWithTtl> received, String from) {
        Router router = routers.get(name);
        List<CommandWithTtl> changed = new ArrayList<>();
        for (CommandWithTtl entry : received) {
            if (router.set.add(entry.command(), entry.ttlMs(), nowMs + router.clockOffsetMs)) {
                changed.add(entry);
                router.receivedMs = nowMs;
            }
        }
        send(name, router.disseminator.disseminate(changed, peers(name), from));
    }

    /** Submits a command with a time to live of one day to a router, as an operator does. */
    void submit(String router, OperatorCommand command) {
        receive(router, List.of(new CommandWithTtl(command, DAY_MS)), "");
    }

    void run(long durationMs) {
        long endMs = nowMs + durationMs;
        while (!events.isEmpty() && events.peek().timeMs <= endMs) {
            Event event = events.poll();
            nowMs = event.timeMs;
            event.action.run();
        }
        nowMs = endMs;
    }

    /** Returns the intent that is in force for a subject on a router. */
    Intent intent(String router, String subject) {
        Router target = routers.get(router);
        return target.set.intent(subject, nowMs + target.clockOffsetMs);
    }

    /** Returns the latest time at which a surviving router received a new command. */
    long lastReceivedMs() {
        return routers.entrySet().stream()
                .filter(entry -> !dead.contains(entry.getKey()))
                .mapToLong(entry -> entry.getValue().receivedMs)
                .max()
                .orElse(0);
    }

    /** Returns the number of surviving routers by the name of their intent for a subject. */
    Map<String, Long> countByIntent(String subject) {
        Map<String, Long> counts = new HashMap<>();
        routers.keySet().stream()
                .filter(router -> !dead.contains(router))
                .forEach(router -> counts.merge(intent(router, subject).name(), 1L, Long::sum));
        return counts;
    }
}
