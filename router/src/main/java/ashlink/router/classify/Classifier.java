package ashlink.router.classify;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.sql.StatementAnalysis;
import ashlink.sql.StatementKind;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Assigns a query class to each statement: the class of the first matching rule, or a default
 * class.
 *
 * <p>A class that allows retries is assigned only to statements that are certainly reads without
 * side effects. If engines deduplicate statements of the class, it is also assigned to statements
 * that a rule selects by kind or keyword. Any other statement gets the at-most-once variant of the
 * class, which has the same placement, or the default class for writes if there is no such variant.
 * Thread-safe.
 */
public final class Classifier {

    /**
     * The query class of a statement.
     *
     * @param rule number of the matching rule, starting at 1; 0 for a default class
     * @param downgraded whether the class of the rule was replaced by a class without retries
     */
    public record Classification(QueryClass queryClass, int rule, boolean downgraded) {}

    private final RouterConfig config;
    private final Map<String, QueryClass> classes;

    /** Creates a classifier with the rules of the settings. */
    public Classifier(RouterConfig config) {
        this.config = config;
        this.classes = config.allQueryClasses();
    }

    /**
     * Classifies a statement.
     *
     * @param settings settings of the request, by name
     */
    public Classification classify(
            String user,
            String database,
            StatementAnalysis analysis,
            Map<String, String> settings) {
        int number = 0;
        for (ClassRule rule : config.rules()) {
            number++;
            if (matches(rule, user, database, analysis, settings)) {
                return classify(rule, number, analysis);
            }
        }
        String name = analysis.safeToRepeat() ? config.defaultClass() : config.defaultWriteClass();
        return new Classification(classes.get(name), 0, false);
    }

    private Classification classify(ClassRule rule, int number, StatementAnalysis analysis) {
        QueryClass queryClass = classes.get(rule.queryClass());
        boolean selectsKindOrKeyword = !rule.keywords().isEmpty() || !rule.kinds().isEmpty();
        boolean deduplicated =
                queryClass.retrySafety() == RetrySafety.DEDUPLICATED
                        && selectsKindOrKeyword
                        && analysis.kind() != StatementKind.UNKNOWN
                        && analysis.kind() != StatementKind.SEVERAL;
        if (analysis.safeToRepeat()
                || queryClass.retrySafety() == RetrySafety.AT_MOST_ONCE
                || deduplicated) {
            return new Classification(queryClass, number, false);
        }
        return new Classification(atMostOnce(queryClass), number, true);
    }

    private QueryClass atMostOnce(QueryClass queryClass) {
        return classes.getOrDefault(
                RouterConfig.atMostOnceName(queryClass.name()),
                classes.get(config.defaultWriteClass()));
    }

    private static boolean matches(
            ClassRule rule,
            String user,
            String database,
            StatementAnalysis analysis,
            Map<String, String> settings) {
        return (rule.users().isEmpty() || rule.users().contains(user))
                && (rule.databases().isEmpty() || rule.databases().contains(database))
                && (rule.keywords().isEmpty() || rule.keywords().contains(keyword(analysis)))
                && (rule.kinds().isEmpty()
                        || rule.kinds().contains(analysis.kind().name().toLowerCase(Locale.ROOT)))
                && (rule.fingerprints().isEmpty()
                        || rule.fingerprints().contains(analysis.fingerprint()))
                && (rule.tables().isEmpty()
                        || matchesAny(rule.tables(), analysis.reads())
                        || matchesAny(rule.tables(), analysis.writes()))
                && (rule.setting().isEmpty()
                        || settings.containsKey(rule.setting())
                                && (rule.value().isEmpty()
                                        || rule.value().equals(settings.get(rule.setting()))));
    }

    private static boolean matchesAny(Set<Pattern> patterns, Set<String> tables) {
        return tables.stream()
                .anyMatch(
                        table ->
                                patterns.stream()
                                        .anyMatch(pattern -> pattern.matcher(table).matches()));
    }

    /**
     * Returns the first keyword in upper case, also for a statement whose syntax is not supported.
     */
    static String keyword(StatementAnalysis analysis) {
        String normalizedSql =
                analysis.kind() == StatementKind.UNKNOWN
                        ? analysis.normalizedSql().substring("unknown ".length())
                        : analysis.normalizedSql();
        int end = normalizedSql.indexOf(' ');
        return (end < 0 ? normalizedSql : normalizedSql.substring(0, end)).toUpperCase(Locale.ROOT);
    }

    /** Returns whether the statement may be followed by data from the client. */
    public static boolean mayTakeData(StatementAnalysis analysis) {
        return analysis.expectsData()
                || analysis.kind() == StatementKind.UNKNOWN && keyword(analysis).equals("INSERT");
    }

    /** Returns whether the engine executes the statement only after the end of its data. */
    public static boolean waitsForData(StatementAnalysis analysis) {
        return analysis.kind() == StatementKind.LOAD && analysis.expectsData();
    }
}
