package ashlink.decisions;

import java.util.Collection;

/**
 * Distinguishes short queries from long queries. Short queries have capacity beyond the concurrency
 * limit, so that they do not wait behind long queries, which they hardly delay.
 */
final class ShortQueryClassifier {

    /** Fraction of the mean work of the longest class below which a query is short. */
    private static final double SHORT_FRACTION = 0.2;

    private final Collection<QueryClassStatistics> classes;

    ShortQueryClassifier(Collection<QueryClassStatistics> classes) {
        this.classes = classes;
    }

    boolean isShort(QueryState query) {
        double longestMs = 0;
        for (QueryClassStatistics statistics : classes) {
            longestMs = Math.max(longestMs, statistics.meanWorkMs());
        }
        double workMs = query.hasEstimate ? query.expectedWorkMs : query.statistics.meanWorkMs();
        return workMs < SHORT_FRACTION * longestMs;
    }
}
