package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;

/**
 * Simulates many SWIM members in simulated time, over links that delay, lose or block messages. All
 * random choices are determined by a seed.
 */
final class MembershipSimulation {

    static final long NS_PER_MS = 1_000_000L;
    static final long NS_PER_S = 1_000 * NS_PER_MS;

    private record Event(long timeNs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeNs != other.timeNs
                    ? Long.compare(timeNs, other.timeNs)
                    : Long.compare(sequence, other.sequence);
        }
    }

    final Map<String, Swim> members = new HashMap<>();
    final Set<String> dead = new HashSet<>();
    final Set<String> paused = new HashSet<>();
    final Map<String, Long> pausedSince = new HashMap<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    final SplittableRandom random;
    final double loss;
    BiPredicate<String, String> linkWorks = (from, to) -> true;
    long nowNs = 1_000 * NS_PER_S;
    long nextSequence;
    long messages;
    int maxUpdates;

    MembershipSimulation(int count, double loss, long seed) {
        this.random = new SplittableRandom(seed);
        this.loss = loss;
        Map<String, String> seeds = new HashMap<>();
        for (int i = 0; i < count; i++) {
            seeds.put(name(i), "at-" + name(i));
        }
        for (int i = 0; i < count; i++) {
            String member = name(i);
            members.put(
                    member,
                    new Swim(member, "at-" + member, seeds, SwimConfig.DEFAULT, seed * 10_007 + i));
            schedule(random.nextLong(250 * NS_PER_MS), () -> tick(member));
        }
    }

    static String name(int index) {
        return String.format("r%04d", index);
    }

    void schedule(long delayNs, Runnable action) {
        events.add(new Event(nowNs + delayNs, nextSequence++, action));
    }

    private void tick(String member) {
        if (dead.contains(member)) {
            return;
        }
        if (!paused.contains(member)) {
            members.get(member).tick(nowNs).forEach(send -> send(member, send));
        }
        schedule(
                Math.max(
                        NS_PER_MS,
                        Math.min(50 * NS_PER_MS, members.get(member).nextTickNs() - nowNs)),
                () -> tick(member));
    }

    private void send(String from, Swim.Send send) {
        messages++;
        maxUpdates = Math.max(maxUpdates, send.message().updates().size());
        if (random.nextDouble() < loss || !linkWorks.test(from, send.member())) {
            return;
        }
        schedule(NS_PER_MS + random.nextLong(9 * NS_PER_MS), () -> deliver(from, send));
    }

    private void deliver(String from, Swim.Send send) {
        if (dead.contains(send.member())) {
            return;
        }
        if (paused.contains(send.member())) {
            // The message stays in the socket until the member resumes.
            schedule(50 * NS_PER_MS, () -> deliver(from, send));
            return;
        }
        members.get(send.member())
                .receive(from, "at-" + from, send.message(), nowNs)
                .forEach(reply -> send(send.member(), reply));
    }

    void runUntil(long endNs) {
        while (!events.isEmpty() && events.peek().timeNs <= endNs) {
            Event event = events.poll();
            nowNs = event.timeNs;
            event.action.run();
        }
        nowNs = endNs;
    }

    void run(long durationNs) {
        runUntil(nowNs + durationNs);
    }

    /** Returns the number of live members that see a member in a state. */
    long countInState(String member, State state) {
        return members.entrySet().stream()
                .filter(
                        entry ->
                                !entry.getKey().equals(member)
                                        && !dead.contains(entry.getKey())
                                        && entry.getValue().stateOf(member) == state)
                .count();
    }

    /** Returns the number of pairs of live members of which the first sees the second as dead. */
    long countWronglyDead() {
        long count = 0;
        for (Map.Entry<String, Swim> entry : members.entrySet()) {
            if (!dead.contains(entry.getKey())) {
                count +=
                        entry.getValue().members().values().stream()
                                .filter(
                                        update ->
                                                update.state() == State.DEAD
                                                        && !dead.contains(update.member()))
                                .count();
            }
        }
        return count;
    }
}
