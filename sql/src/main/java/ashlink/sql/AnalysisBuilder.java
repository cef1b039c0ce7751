package ashlink.sql;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** The analysis of one text, as its readers build it. For one thread. */
final class AnalysisBuilder {

    final TreeSet<String> reads = new TreeSet<>();
    final TreeSet<String> writes = new TreeSet<>();
    final Map<String, String> settings = new LinkedHashMap<>();
    boolean allTables = true;
    boolean unstable;
    boolean takesData;
    String doubt = "";

    /** Records why a read is not harmless; the first reason stays. */
    void doubt(String reason) {
        doubt = doubt.isEmpty() ? reason : doubt;
    }

    /** Records a call of a function. */
    void function(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        unstable |= Vocabulary.UNSTABLE.contains(lower);
    }
}
