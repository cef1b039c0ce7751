package ashlink.sql;

import java.util.Map;
import java.util.SortedSet;

/**
 * What was read of a statement.
 *
 * @param reads tables that it reads, as {@code database.table}; without a database where none is
 *     known
 * @param writes tables that it writes, makes or drops
 * @param allTables false where it may touch others, which a pattern or another server names
 * @param harmless true only if running it again changes nothing: a read that was understood whole
 * @param unstable true if it may answer otherwise each time: functions of time or chance
 * @param takesData true if its rows come from the client after it
 * @param settings that it sets for itself
 * @param fingerprint 128 bits in hex, the same for statements that differ in literal values only;
 *     of an unknown statement that of its tokens
 * @param normal the text that the fingerprint is of
 * @param reason why it is unknown, or why it is not harmless though it reads; empty otherwise
 * @param at character of the text at which reading ended, -1 where it was understood
 */
public record StatementAnalysis(
        Kind kind,
        SortedSet<String> reads,
        SortedSet<String> writes,
        boolean allTables,
        boolean harmless,
        boolean unstable,
        boolean takesData,
        Map<String, String> settings,
        String fingerprint,
        String normal,
        String reason,
        int at) {}
