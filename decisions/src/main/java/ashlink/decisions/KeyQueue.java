package ashlink.decisions;

import java.util.ArrayDeque;

/** The unfinished queries with one ordering key, in order of submission. */
final class KeyQueue {

    final ArrayDeque<QueryState> queries = new ArrayDeque<>();

    /** End of the quiet period; until then no other query of the key may start. */
    long pausedUntilNs = Nanos.NEVER;
}
