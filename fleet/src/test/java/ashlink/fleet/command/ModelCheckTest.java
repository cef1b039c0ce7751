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
 * All states that three routers reach with two notices of one owner (a drain, then its withdrawal),
 * messages between them that are lost, late and out of order, and a crash: no router that has seen
 * the newer acts on the older.
 */
class ModelCheckTest {

    private static final int ROUTERS = 3;
    private static final int MOST_IN_FLIGHT = 3;
    private static final OperatorCommand DRAIN =
            new OperatorCommand("engine:q1", "ann", 1, Intent.DRAIN, "ann", "");
    private static final OperatorCommand UNDRAIN =
            new OperatorCommand("engine:q1", "ann", 2, Intent.NONE, "ann", "");

    /** Bits 1 and 2 stand for the notices. */
    private record Message(int to, int notices) implements Comparable<Message> {
        @Override
        public int compareTo(Message o) {
            return to != o.to ? Integer.compare(to, o.to) : Integer.compare(notices, o.notices);
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

    private static ReplicatedCommandSet set(int notices) {
        ReplicatedCommandSet s = new ReplicatedCommandSet(10, 1_000, 1_000);
        if ((notices & 2) != 0) {
            s.add(UNDRAIN, 1_000, 0); // in an order that is not theirs
        }
        if ((notices & 1) != 0) {
            s.add(DRAIN, 1_000, 0);
        }
        return s;
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
            State s = todo.poll();
            for (int r = 0; r < ROUTERS; r++) {
                boolean sawNewer = (s.seen.get(r) & 2) != 0;
                if (sawNewer && set(s.memory.get(r)).intent("engine:q1", 1) == Intent.DRAIN) {
                    wrong++;
                }
            }
            for (State next : next(s, diskFirst)) {
                if (known.add(next)) {
                    todo.add(next);
                }
            }
        }
        return new Found(known.size(), wrong);
    }

    private static State learn(
            State s, int r, int notices, boolean diskFirst, TreeSet<Message> messages) {
        int all = s.memory.get(r) | notices;
        return new State(
                with(s.memory, r, all),
                diskFirst ? with(s.disk, r, s.disk.get(r) | notices) : s.disk,
                with(s.seen, r, s.seen.get(r) | notices),
                messages,
                s.crashes);
    }

    private static List<State> next(State s, boolean diskFirst) {
        List<State> out = new ArrayList<>();
        for (int r = 0; r < ROUTERS; r++) {
            for (int notice = 1; notice <= 2; notice++) {
                out.add(learn(s, r, notice, diskFirst, s.messages)); // the tool reaches it
            }
            if (!diskFirst) {
                out.add(
                        new State(
                                s.memory,
                                with(s.disk, r, s.disk.get(r) | s.memory.get(r)),
                                s.seen,
                                s.messages,
                                s.crashes));
            }
            if (s.crashes < 1) {
                out.add(
                        new State(
                                with(s.memory, r, s.disk.get(r)),
                                s.disk,
                                s.seen,
                                s.messages,
                                s.crashes + 1));
            }
            for (int to = 0; to < ROUTERS; to++) {
                if (to != r && s.memory.get(r) != 0 && s.messages.size() < MOST_IN_FLIGHT) {
                    TreeSet<Message> more = new TreeSet<>(s.messages);
                    more.add(new Message(to, s.memory.get(r)));
                    out.add(new State(s.memory, s.disk, s.seen, more, s.crashes));
                }
            }
        }
        for (Message m : s.messages) {
            TreeSet<Message> fewer = new TreeSet<>(s.messages);
            fewer.remove(m);
            out.add(new State(s.memory, s.disk, s.seen, fewer, s.crashes)); // lost
            out.add(learn(s, m.to, m.notices, diskFirst, fewer));
        }
        return out;
    }

    @Test
    void noRouterThatSawTheNewerActsOnTheOlder() {
        Found f = explore(true);
        System.out.println("notices: " + f.states + " states, none wrong");
        assertEquals(0, f.wrong);
        assertTrue(f.states > 5_000, f.states + " states");
    }

    @Test
    void withoutTheDiskBeforeTheActTheCheckFindsWhatGoesWrong() {
        assertTrue(
                explore(false).wrong > 0,
                "a crash forgets the newer, and a late message brings the older");
    }
}
