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
 * All states that three routers reach with two commands of one owner (a drain, then its
 * withdrawal), messages between them that are lost, late and out of order, and a crash: no router
 * that has seen the newer acts on the older.
 */
class ModelCheckTest {

    private static final int ROUTERS = 3;
    private static final int MAX_IN_FLIGHT = 3;
    private static final OperatorCommand DRAIN =
            new OperatorCommand("engine:q1", "ann", 1, Intent.DRAIN, "ann", "");
    private static final OperatorCommand UNDRAIN =
            new OperatorCommand("engine:q1", "ann", 2, Intent.NONE, "ann", "");

    /** Bits 1 and 2 stand for the commands. */
    private record Message(int to, int commands) implements Comparable<Message> {
        @Override
        public int compareTo(Message message) {
            return to != message.to
                    ? Integer.compare(to, message.to)
                    : Integer.compare(commands, message.commands);
        }
    }

    /**
     * What each router has in memory, on its disk, and has ever seen; what is under way; crashes so
     * far.
     */
    private record State(
            List<Integer> memory,
            List<Integer> disk,
            List<Integer> seen,
            TreeSet<Message> messages,
            int crashes) {}

    private record Found(int states, int wrong) {}

    private static ReplicatedCommandSet set(int commands) {
        ReplicatedCommandSet set = new ReplicatedCommandSet(10, 1_000, 1_000);
        if ((commands & 2) != 0) {
            set.add(UNDRAIN, 1_000, 0); // in an order that is not theirs
        }
        if ((commands & 1) != 0) {
            set.add(DRAIN, 1_000, 0);
        }
        return set;
    }

    private static List<Integer> with(List<Integer> of, int at, int value) {
        List<Integer> copy = new ArrayList<>(of);
        copy.set(at, value);
        return copy;
    }

    private static Found explore(boolean diskFirst) {
        State first =
                new State(List.of(0, 0, 0), List.of(0, 0, 0), List.of(0, 0, 0), new TreeSet<>(), 0);
        Set<State> known = new HashSet<>(Set.of(first));
        ArrayDeque<State> todo = new ArrayDeque<>(known);
        int wrong = 0;
        while (!todo.isEmpty() && (wrong == 0 || diskFirst)) {
            State state = todo.poll();
            for (int r = 0; r < ROUTERS; r++) {
                boolean sawNewer = (state.seen.get(r) & 2) != 0;
                if (sawNewer && set(state.memory.get(r)).intent("engine:q1", 1) == Intent.DRAIN) {
                    wrong++;
                }
            }
            for (State next : next(state, diskFirst)) {
                if (known.add(next)) {
                    todo.add(next);
                }
            }
        }
        return new Found(known.size(), wrong);
    }

    private static State receive(
            State state, int router, int commands, boolean diskFirst, TreeSet<Message> messages) {
        int all = state.memory.get(router) | commands;
        return new State(
                with(state.memory, router, all),
                diskFirst
                        ? with(state.disk, router, state.disk.get(router) | commands)
                        : state.disk,
                with(state.seen, router, state.seen.get(router) | commands),
                messages,
                state.crashes);
    }

    private static List<State> next(State state, boolean diskFirst) {
        List<State> out = new ArrayList<>();
        for (int r = 0; r < ROUTERS; r++) {
            for (int command = 1; command <= 2; command++) {
                out.add(
                        receive(
                                state,
                                r,
                                command,
                                diskFirst,
                                state.messages)); // the tool reaches it
            }
            if (!diskFirst) {
                out.add(
                        new State(
                                state.memory,
                                with(state.disk, r, state.disk.get(r) | state.memory.get(r)),
                                state.seen,
                                state.messages,
                                state.crashes));
            }
            addCrash(state, r, out);
            for (int to = 0; to < ROUTERS; to++) {
                if (to != r && state.memory.get(r) != 0 && state.messages.size() < MAX_IN_FLIGHT) {
                    TreeSet<Message> more = new TreeSet<>(state.messages);
                    more.add(new Message(to, state.memory.get(r)));
                    out.add(new State(state.memory, state.disk, state.seen, more, state.crashes));
                }
            }
        }
        addDeliveries(state, diskFirst, out);
        return out;
    }

    /** A router crashes and restarts with what its disk has. */
    private static void addCrash(State state, int router, List<State> out) {
        if (state.crashes < 1) {
            out.add(
                    new State(
                            with(state.memory, router, state.disk.get(router)),
                            state.disk,
                            state.seen,
                            state.messages,
                            state.crashes + 1));
        }
    }

    /** Each message in flight is lost or arrives. */
    private static void addDeliveries(State state, boolean diskFirst, List<State> out) {
        for (Message message : state.messages) {
            TreeSet<Message> fewer = new TreeSet<>(state.messages);
            fewer.remove(message);
            out.add(new State(state.memory, state.disk, state.seen, fewer, state.crashes)); // lost
            out.add(receive(state, message.to, message.commands, diskFirst, fewer));
        }
    }

    @Test
    void routerThatSawNewerCommandNeverActsOnOlder() {
        Found found = explore(true);
        System.out.println("commands: " + found.states + " states, none wrong");
        assertEquals(0, found.wrong);
        assertTrue(found.states > 5_000, found.states + " states");
    }

    @Test
    void modelCheckFindsViolationIfDiskIsWrittenAfterApplying() {
        assertTrue(
                explore(false).wrong > 0,
                "a crash forgets the newer, and a late message brings the older");
    }
}
