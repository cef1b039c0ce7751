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

/** Notices between many routers in simulated time, with clocks that are apart. From a seed. */
final class DisseminationSimulation {

    private static final long DAY = 86_400_000L;

    private record Event(long atMs, long number, Runnable what) {}

    private static final class Router {
        final ReplicatedCommandSet set = new ReplicatedCommandSet(1_000, 30 * DAY, 60 * DAY);
        final CommandDisseminator carrier;
        final long clockMs;
        long learntMs = -1;

        Router(long seed, long clockMs) {
            this.carrier = new CommandDisseminator(set, seed);
            this.clockMs = clockMs;
        }
    }

    final Map<String, Router> routers = new LinkedHashMap<>();
    final Set<String> dead = new HashSet<>();
    final SplittableRandom random;
    final double loss;
    BiPredicate<String, String> passes = (a, b) -> true;
    long nowMs = 1L << 40;
    long messages;
    private long numbers;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    java.util.Comparator.comparingLong(Event::atMs)
                            .thenComparingLong(Event::number));

    DisseminationSimulation(int count, double loss, long seed) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        for (int i = 0; i < count; i++) {
            String name = "r" + i;
            routers.put(name, new Router(seed + i, random.nextLong(20 * 60_000) - 10 * 60_000));
            at(random.nextInt(1_000), () -> compare(name));
        }
    }

    private void at(long in, Runnable what) {
        events.add(new Event(nowMs + in, numbers++, what));
    }

    private List<String> peers(String of) {
        List<String> peers = new ArrayList<>(routers.keySet());
        peers.remove(of);
        return peers;
    }

    private void compare(String r) {
        if (!dead.contains(r)) {
            send(r, routers.get(r).carrier.compare(peers(r)));
        }
        at(1_000, () -> compare(r));
    }

    private void send(String from, List<CommandDisseminator.Transmission> all) {
        for (CommandDisseminator.Transmission o : all) {
            messages++;
            if (random.nextDouble() >= loss && passes.test(from, o.peer())) {
                at(1 + random.nextInt(10), () -> deliver(from, o));
            }
        }
    }

    private void deliver(String from, CommandDisseminator.Transmission o) {
        Router r = routers.get(o.peer());
        if (dead.contains(o.peer())) {
            return;
        }
        if (o instanceof CommandDisseminator.Transmission.SendCommands t) {
            learn(o.peer(), t.notices(), from);
        } else if (o instanceof CommandDisseminator.Transmission.SendDigest c) {
            send(o.peer(), r.carrier.compared(from, c.digest(), c.back(), nowMs + r.clockMs));
        }
    }

    /** A router hears of notices: from a peer, or from the tool. */
    void learn(String name, List<CommandWithTtl> held, String from) {
        Router r = routers.get(name);
        List<CommandWithTtl> fresh = new ArrayList<>();
        for (CommandWithTtl h : held) {
            if (r.set.add(h.notice(), h.leftMs(), nowMs + r.clockMs)) {
                fresh.add(h);
                r.learntMs = nowMs;
            }
        }
        send(name, r.carrier.spread(fresh, peers(name), from));
    }

    void tell(String router, OperatorCommand n) {
        learn(router, List.of(new CommandWithTtl(n, DAY)), "");
    }

    void run(long ms) {
        long end = nowMs + ms;
        while (!events.isEmpty() && events.peek().atMs <= end) {
            Event e = events.poll();
            nowMs = e.atMs;
            e.what.run();
        }
        nowMs = end;
    }

    Intent intent(String router, String subject) {
        Router r = routers.get(router);
        return r.set.intent(subject, nowMs + r.clockMs);
    }

    /** Time at which the last router alive learnt anything new. */
    long lastLearntMs() {
        return routers.entrySet().stream()
                .filter(e -> !dead.contains(e.getKey()))
                .mapToLong(e -> e.getValue().learntMs)
                .max()
                .orElse(0);
    }

    Map<String, Long> holding(String subject) {
        Map<String, Long> by = new HashMap<>();
        routers.keySet().stream()
                .filter(r -> !dead.contains(r))
                .forEach(r -> by.merge(intent(r, subject).name(), 1L, Long::sum));
        return by;
    }
}
