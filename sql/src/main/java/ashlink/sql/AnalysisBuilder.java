package ashlink.sql;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** What the readers of one text have found so far. */
final class AnalysisBuilder {

    final TreeSet<String> reads = new TreeSet<>();
    final TreeSet<String> writes = new TreeSet<>();
    final Map<String, String> settings = new LinkedHashMap<>();
    boolean allTables = true;
    boolean unstable;
    boolean takesData;
    String doubt = "";

    void doubt(String reason) {
        doubt = doubt.isEmpty() ? reason : doubt;
    }

    void function(String name) {
        String lower = name.toLowerCase(Locale.ROOT);
        unstable |= Vocabulary.UNSTABLE.contains(lower);
    }
}
