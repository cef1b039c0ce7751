package ashlink.router.classify;

import ashlink.sql.StatementAnalysis;
import ashlink.sql.StatementReader;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Readings of statements, those of short ones remembered. The key is the text itself with its
 * database, not a hash of it: a hit is as safe as reading again.
 */
public final class StatementAnalyzer {

    /** Texts longer than this are read each time: they seldom come back as they were. */
    private static final int MOST_CHARS = 16 << 10;

    /** Characters of all texts that are remembered. */
    private static final long MOST_WEIGHT = 16 << 20;

    private static final int ENTRY_WEIGHT = 500;

    private record Key(String text, String database) {}

    private final StatementReader reader = new StatementReader();
    private final Cache<Key, StatementAnalysis> known =
            Caffeine.newBuilder()
                    .maximumWeight(MOST_WEIGHT)
                    .weigher((Key k, StatementAnalysis r) -> ENTRY_WEIGHT + 4 * k.text.length())
                    .build();

    /** The reading of a statement. */
    public StatementAnalysis analyze(String text, String database) {
        if (text.length() > MOST_CHARS) {
            return reader.read(text, database);
        }
        return known.get(new Key(text, database), key -> reader.read(key.text, key.database));
    }
}
