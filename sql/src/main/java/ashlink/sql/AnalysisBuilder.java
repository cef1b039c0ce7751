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
    boolean allTables = true;
    boolean unstable;
    boolean takesData;
    String doubt = "";

    /** Records why repeating a read is not safe; only the first reason is kept. */
    void doubt(String reason) {
        doubt = doubt.isEmpty() ? reason : doubt;
    }

    /** Records a function call. */
    void function(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        unstable |= Vocabulary.UNSTABLE.contains(lower);
    }
}
