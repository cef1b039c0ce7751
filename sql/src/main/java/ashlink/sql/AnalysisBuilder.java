package ashlink.sql;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Collects the analysis of one text while the readers parse the text. Not thread-safe. */
final class AnalysisBuilder {

    final TreeSet<String> reads = new TreeSet<>();
    final TreeSet<String> writes = new TreeSet<>();
    final Map<String, String> settings = new LinkedHashMap<>();
    boolean tablesComplete = true;
    boolean nondeterministic;
    boolean expectsData;
    String unsafeReason = "";

    /** Records why repeating a read is not safe; only the first reason is kept. */
    void markUnsafe(String reason) {
        unsafeReason = unsafeReason.isEmpty() ? reason : unsafeReason;
    }

    /** Records a function call. */
    void recordFunction(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        nondeterministic |= Vocabulary.NONDETERMINISTIC_FUNCTIONS.contains(lower);
    }
}
