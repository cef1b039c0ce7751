package ashlink.decisions;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The queries of this router that are unfinished or have an attempt in flight, by query identifier.
 */
final class ActiveQueries {

    private final Map<Long, QueryState> queries = new LinkedHashMap<>();

    boolean contains(long id) {
        return queries.containsKey(id);
    }

    /** Returns the query with the given identifier, or null if there is none. */
    QueryState find(long id) {
        return queries.get(id);
    }

    void add(QueryState query) {
        queries.put(query.id, query);
    }

    void remove(QueryState query) {
        queries.remove(query.id);
    }

    /** Returns the number of threads used by the short queries that have an attempt in flight. */
    int shortThreadsInFlight(ShortQueryClassifier shortQueries) {
        int threads = 0;
        for (QueryState query : queries.values()) {
            if (query.isInFlight() && shortQueries.isShort(query)) {
                threads += query.queryClass.threads();
            }
        }
        return threads;
    }
}
