package ashlink.decisions;

import java.util.ArrayDeque;

/** The unfinished queries of one ordering key, in the order of their submission. */
final class KeyQueue {

    final ArrayDeque<QueryState> queries = new ArrayDeque<>();

    /** Time before which no other query of the key may start. */
    long pausedUntilNs = Nanos.NEVER;
}
