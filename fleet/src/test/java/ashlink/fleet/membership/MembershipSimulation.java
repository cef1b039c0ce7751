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
 * Many members in simulated time: messages that take their time, get lost, or do not pass. From a
 * seed.
 */
final class MembershipSimulation {

    static final long MS = 1_000_000L;
    static final long S = 1_000 * MS;

    private record Event(long atNs, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event event) {
            return atNs != event.atNs
                    ? Long.compare(atNs, event.atNs)
                    : Long.compare(number, event.number);
        }
    }

    final Map<String, Swim> members = new HashMap<>();
    final Set<String> dead = new HashSet<>();
    final Set<String> paused = new HashSet<>();
    final Map<String, Long> pausedSince = new HashMap<>();
    final PriorityQueue<Event> events = new PriorityQueue<>();
    final SplittableRandom random;
    final double loss;
    BiPredicate<String, String> passes = (from, to) -> true;
    long now = 1_000 * S;
    long numbers;
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
            String text = name(i);
            members.put(
                    text,
                    new Swim(text, "at-" + text, seeds, SwimConfig.DEFAULT, seed * 10_007 + i));
            at(random.nextLong(250 * MS), () -> tick(text));
        }
    }

    static String name(int index) {
        return String.format("r%04d", index);
    }

    void at(long in, Runnable what) {
        events.add(new Event(now + in, numbers++, what));
    }

    private void tick(String text) {
        if (dead.contains(text)) {
            return;
        }
        if (!paused.contains(text)) {
            members.get(text).tick(now).forEach(s -> send(text, s));
        }
        at(Math.max(MS, Math.min(50 * MS, members.get(text).nextTickNs() - now)), () -> tick(text));
    }

    private void send(String from, Swim.Send send) {
        messages++;
        maxUpdates = Math.max(maxUpdates, send.message().updates().size());
        if (random.nextDouble() < loss || !passes.test(from, send.member())) {
            return;
        }
        at(MS + random.nextLong(9 * MS), () -> deliver(from, send));
    }

    private void deliver(String from, Swim.Send send) {
        if (dead.contains(send.member())) {
            return;
        }
        if (paused.contains(send.member())) {
            at(50 * MS, () -> deliver(from, send)); // in its socket until it goes on
            return;
        }
        members.get(send.member())
                .receive(from, "at-" + from, send.message(), now)
                .forEach(reply -> send(send.member(), reply));
    }

    void until(long end) {
        while (!events.isEmpty() && events.peek().atNs <= end) {
            Event event = events.poll();
            now = event.atNs;
            event.what.run();
        }
        now = end;
    }

    void run(long forNs) {
        until(now + forNs);
    }

    /** Members alive that have a member in that state. */
    long countInState(String of, State state) {
        return members.entrySet().stream()
                .filter(
                        entry ->
                                !entry.getKey().equals(of)
                                        && !dead.contains(entry.getKey())
                                        && entry.getValue().stateOf(of) == state)
                .count();
    }

    /** Pairs of members alive of which the first takes the second for dead. */
    long wronglyDead() {
        long wrong = 0;
        for (Map.Entry<String, Swim> entry : members.entrySet()) {
            if (!dead.contains(entry.getKey())) {
                wrong +=
                        entry.getValue().members().values().stream()
                                .filter(
                                        membershipUpdate ->
                                                membershipUpdate.state() == State.DEAD
                                                        && !dead.contains(
                                                                membershipUpdate.member()))
                                .count();
            }
        }
        return wrong;
    }
}
