package ashlink.router.classify;

import ashlink.sql.StatementAnalysis;
import ashlink.sql.StatementReader;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Analyzes statements, and caches the analyses of short statements by text and database.
 * Thread-safe.
 */
public final class StatementAnalyzer {

    /**
     * Maximum length of a cached statement in characters. Longer statements are rarely repeated
     * unchanged.
     */
    private static final int MAX_CACHED_CHARS = 16 << 10;

    /** Approximate maximum size of the cache in bytes. */
    private static final long MAX_CACHE_BYTES = 16 << 20;

    private static final int ENTRY_BYTES = 500;
    private static final int BYTES_PER_CHAR = 4;

    private record Key(String text, String database) {}

    private final StatementReader reader = new StatementReader();
    private final Cache<Key, StatementAnalysis> cache =
            Caffeine.newBuilder()
                    .maximumWeight(MAX_CACHE_BYTES)
                    .weigher(
                            (Key key, StatementAnalysis analysis) ->
                                    ENTRY_BYTES + BYTES_PER_CHAR * key.text.length())
                    .build();

    /** Returns the analysis of a statement that runs with the given default database. */
    public StatementAnalysis analyze(String text, String database) {
        if (text.length() > MAX_CACHED_CHARS) {
            return reader.read(text, database);
        }
        return cache.get(new Key(text, database), key -> reader.read(key.text, key.database));
    }
}
