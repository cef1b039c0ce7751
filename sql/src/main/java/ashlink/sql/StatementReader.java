package ashlink.sql;

import java.util.Collections;
import java.util.Map;

/**
 * Analyzes SQL texts. A reader is stateless and thread-safe. Time and memory grow with the length
 * of the text up to the token limit; a text beyond the limit is unknown. Data that follows an
 * INSERT is not scanned.
 */
public final class StatementReader {

    /**
     * Default limit on the number of tokens in one text: enough for a list of half a million
     * values.
     */
    public static final int MAX_TOKENS = 1_000_000;

    /** Offset in the analysis of a text that was parsed to the end. */
    private static final int NO_OFFSET = -1;

    private final int maxTokens;

    /** Creates a reader with the default limit. */
    public StatementReader() {
        this(MAX_TOKENS);
    }

    /** Creates a reader for texts of at most the given number of tokens. */
    public StatementReader(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /**
     * Analyzes a text. Unsupported syntax results in an analysis of kind {@code UNKNOWN}, never in
     * an exception.
     *
     * @param database database of the connection; empty if there is none
     */
    public StatementAnalysis read(String text, String database) {
        Tokens tokens = new Tokens(text, maxTokens);
        AnalysisBuilder analysis = new AnalysisBuilder();
        StatementKind kind;
        try {
            kind = new Readers(tokens, analysis, database).statements.parse();
        } catch (UnsupportedSyntaxException e) {
            return unknown(text, e.getMessage(), e.offset());
        } catch (StackOverflowError e) {
            // The nesting limit assumes that the whole thread stack is available. How much of the
            // stack the caller has used, and the frame size before JIT compilation, are unknown
            // here.
            String reason = "brackets or operators nested too deep for this thread";
            return unknown(text, reason, tokens.offset());
        }
        return parsed(kind, analysis, tokens);
    }

    private static StatementAnalysis parsed(
            StatementKind kind, AnalysisBuilder analysis, Tokens tokens) {
        String normalizedText = NormalizedSql.of(tokens.consumed());
        boolean safeToRepeat = kind == StatementKind.READ && analysis.unsafeReason.isEmpty();
        return new StatementAnalysis(
                kind,
                Collections.unmodifiableSortedSet(analysis.reads),
                Collections.unmodifiableSortedSet(analysis.writes),
                analysis.tablesComplete,
                safeToRepeat,
                analysis.nondeterministic,
                analysis.expectsData,
                Map.copyOf(analysis.settings),
                NormalizedSql.fingerprint(normalizedText),
                normalizedText,
                kind == StatementKind.READ ? analysis.unsafeReason : "",
                NO_OFFSET);
    }

    private StatementAnalysis unknown(String text, String reason, int offset) {
        String normalizedText = "unknown " + NormalizedSql.fallback(text, maxTokens);
        return new StatementAnalysis(
                StatementKind.UNKNOWN,
                Collections.emptySortedSet(),
                Collections.emptySortedSet(),
                false,
                false,
                true,
                false,
                Map.of(),
                NormalizedSql.fingerprint(normalizedText),
                normalizedText,
                reason,
                offset);
    }
}
