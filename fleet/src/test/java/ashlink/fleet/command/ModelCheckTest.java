package ashlink.fleet.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Model check of the dissemination of a drain and its withdrawal by the same owner among three
 * routers: in every reachable state, a router that has received the newer command never applies the
 * older one. Messages may be lost, delayed and reordered, and one router may crash once.
 */
class ModelCheckTest {

    private static final int ROUTERS = 3;
    private static final int MAX_IN_FLIGHT = 3;
    private static final OperatorCommand DRAIN =
            new OperatorCommand("engine:q1", "ann", 1, Intent.DRAIN, "ann", "");
    private static final OperatorCommand UNDRAIN =
            new OperatorCommand("engine:q1", "ann", 2, Intent.NONE, "ann", "");

    /** A message in flight; bit 1 of {@code commands} is the drain, bit 2 its withdrawal. */
    private record Message(int to, int commands) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            return to != other.to
                    ? Integer.compare(to, other.to)
                    : Integer.compare(commands, other.commands);
        }
    }

    /**
     * A state of the model.
     *
     * @param memory commands in memory by router
     * @param disk commands on disk by router
     * @param seen commands ever received by router
     * @param messages messages in flight
     * @param crashes number of crashes so far
     */
    private record State(
            List<Integer> memory,
            List<Integer> disk,
            List<Integer> seen,
            TreeSet<Message> messages,
            int crashes) {}

    private record Result(int states, int violations) {}

    private static ReplicatedCommandSet setOf(int commands) {
        ReplicatedCommandSet set = new ReplicatedCommandSet(10, 1_000, 1_000);
        if ((commands & 2) != 0) {
            set.add(UNDRAIN, 1_000, 0); // added in reverse order
        }
        if ((commands & 1) != 0) {
            set.add(DRAIN, 1_000, 0);
        }
        return set;
    }

    private static List<Integer> withValue(List<Integer> values, int index, int value) {
        List<Integer> copy = new ArrayList<>(values);
        copy.set(index, value);
        return copy;
    }

    private static Result explore(boolean diskBeforeMemory) {
        State initial =
                new State(List.of(0, 0, 0), List.of(0, 0, 0), List.of(0, 0, 0), new TreeSet<>(), 0);
        Set<State> known = new HashSet<>(Set.of(initial));
        ArrayDeque<State> unexplored = new ArrayDeque<>(known);
        int violations = 0;
        while (!unexplored.isEmpty() && (violations == 0 || diskBeforeMemory)) {
            State state = unexplored.poll();
            for (int router = 0; router < ROUTERS; router++) {
                boolean hasSeenNewer = (state.seen.get(router) & 2) != 0;
                if (hasSeenNewer
                        && setOf(state.memory.get(router)).intent("engine:q1", 1) == Intent.DRAIN) {
                    violations++;
                }
            }
            for (State successor : successors(state, diskBeforeMemory)) {
                if (known.add(successor)) {
                    unexplored.add(successor);
                }
            }
        }
        return new Result(known.size(), violations);
    }

    private static State receive(
            State state,
            int router,
            int commands,
            boolean diskBeforeMemory,
            TreeSet<Message> messages) {
        int commandsInMemory = state.memory.get(router) | commands;
        return new State(
                withValue(state.memory, router, commandsInMemory),
                diskBeforeMemory
                        ? withValue(state.disk, router, state.disk.get(router) | commands)
                        : state.disk,
                withValue(state.seen, router, state.seen.get(router) | commands),
                messages,
                state.crashes);
    }

    private static List<State> successors(State state, boolean diskBeforeMemory) {
        List<State> successors = new ArrayList<>();
        for (int router = 0; router < ROUTERS; router++) {
            for (int command = 1; command <= 2; command++) {
                successors.add(
                        receive(
                                state,
                                router,
                                command,
                                diskBeforeMemory,
                                state.messages)); // an operator submits a command
            }
            if (!diskBeforeMemory) {
                successors.add(
                        new State(
                                state.memory,
                                withValue(
                                        state.disk,
                                        router,
                                        state.disk.get(router) | state.memory.get(router)),
                                state.seen,
                                state.messages,
                                state.crashes));
            }
            addCrash(state, router, successors);
            for (int to = 0; to < ROUTERS; to++) {
                if (to != router
                        && state.memory.get(router) != 0
                        && state.messages.size() < MAX_IN_FLIGHT) {
                    TreeSet<Message> messages = new TreeSet<>(state.messages);
                    messages.add(new Message(to, state.memory.get(router)));
                    successors.add(
                            new State(
                                    state.memory, state.disk, state.seen, messages, state.crashes));
                }
            }
        }
        addDeliveries(state, diskBeforeMemory, successors);
        return successors;
    }

    /** Adds the state in which a router has crashed and restarted with the commands on its disk. */
    private static void addCrash(State state, int router, List<State> successors) {
        if (state.crashes < 1) {
            successors.add(
                    new State(
                            withValue(state.memory, router, state.disk.get(router)),
                            state.disk,
                            state.seen,
                            state.messages,
                            state.crashes + 1));
        }
    }

    /** Adds the states in which a message in flight has been lost or delivered. */
    private static void addDeliveries(
            State state, boolean diskBeforeMemory, List<State> successors) {
        for (Message message : state.messages) {
            TreeSet<Message> remaining = new TreeSet<>(state.messages);
            remaining.remove(message);
            State lost = new State(state.memory, state.disk, state.seen, remaining, state.crashes);
            successors.add(lost);
            successors.add(
                    receive(state, message.to, message.commands, diskBeforeMemory, remaining));
        }
    }

    @Test
    void routerThatReceivedNewerCommandNeverAppliesOlder() {
        Result result = explore(true);
        System.out.println("commands: " + result.states + " states, no violation");
        assertEquals(0, result.violations);
        assertTrue(result.states > 5_000, result.states + " states");
    }

    @Test
    void modelCheckFindsViolationIfCommandIsAppliedBeforeWrittenToDisk() {
        assertTrue(
                explore(false).violations > 0,
                "after a crash that loses the newer command, a late message delivers the older"
                        + " one");
    }
}
