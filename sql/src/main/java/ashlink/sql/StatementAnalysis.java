package ashlink.sql;

import java.util.Map;
import java.util.SortedSet;

/**
 * Result of the analysis of a text with one or more statements.
 *
 * @param reads tables that the text reads, as {@code database.table}, or {@code table} if the
 *     database is unknown
 * @param writes tables that the text writes, creates or drops
 * @param tablesComplete true if {@code reads} and {@code writes} are complete; false if the text
 *     may access other tables, by a pattern or through another server
 * @param safeToRepeat true only if repeating the statement changes nothing: a read that was parsed
 *     to the end
 * @param nondeterministic true if the result may differ at each execution, because of functions of
 *     time or randomness
 * @param expectsData true if the client sends the rows after the statement
 * @param settings values of the settings that the text sets, by name
 * @param fingerprint 128 bits in hexadecimal, the same for statements that differ only in literal
 *     values; for an unknown statement it is computed from the tokens
 * @param normalizedSql the normalized text, from which the fingerprint is computed
 * @param reason why the statement is unknown, or why repeating a read is not safe; empty otherwise
 * @param offset index of the character at which parsing stopped, -1 if the text was parsed to the
 *     end
 */
public record StatementAnalysis(
        StatementKind kind,
        SortedSet<String> reads,
        SortedSet<String> writes,
        boolean tablesComplete,
        boolean safeToRepeat,
        boolean nondeterministic,
        boolean expectsData,
        Map<String, String> settings,
        String fingerprint,
        String normalizedSql,
        String reason,
        int offset) {}
