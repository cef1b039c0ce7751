package ashlink.router.classify;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfig.ClassRule;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.sql.Kind;
import ashlink.sql.StatementAnalysis;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Gives a request its class: that of the first rule that matches, else the default. What the class
 * says of repeating holds only where the reading agrees: a statement that was not read whole as a
 * harmless read is never repeated, but by a rule that names its kind or keyword and a class whose
 * repeats engines drop. It then gets the class's strict twin where the class is bound to some
 * engines, so that placement holds as well, and the default class of writes elsewhere.
 */
public final class Classifier {

    /**
     * What was decided; {@code rule} is the number of the rule that matched, from 1, or 0 for the
     * default.
     */
    public record Decision(QueryClass queryClass, int rule, boolean stricter) {}

    private final RouterConfig config;
    private final Map<String, QueryClass> classes;

    /** Classifies by the rules of those settings. */
    public Classifier(RouterConfig config) {
        this.config = config;
        this.classes = config.allClasses();
    }

    /** The class of a statement; {@code settings} are all that came with it. */
    public Decision decide(
            String user, String database, StatementAnalysis reading, Map<String, String> settings) {
        int number = 0;
        for (ClassRule classRule : config.rules()) {
            number++;
            if (matches(classRule, user, database, reading, settings)) {
                QueryClass queryClass = classes.get(classRule.queryClass());
                boolean named = !classRule.keywords().isEmpty() || !classRule.kinds().isEmpty();
                boolean dropped =
                        queryClass.retrySafety() == RetrySafety.DEDUPLICATED
                                && named
                                && reading.kind() != Kind.UNKNOWN
                                && reading.kind() != Kind.SEVERAL;
                if (reading.harmless()
                        || queryClass.retrySafety() == RetrySafety.AT_MOST_ONCE
                        || dropped) {
                    return new Decision(queryClass, number, false);
                }
                return new Decision(atMostOnce(queryClass), number, true);
            }
        }
        return new Decision(
                classes.get(
                        reading.harmless() ? config.defaultClass() : config.defaultWriteClass()),
                0,
                false);
    }

    private QueryClass atMostOnce(QueryClass queryClass) {
        return classes.getOrDefault(
                RouterConfig.strictName(queryClass.name()),
                classes.get(config.defaultWriteClass()));
    }

    private static boolean matches(
            ClassRule classRule,
            String user,
            String database,
            StatementAnalysis reading,
            Map<String, String> settings) {
        return (classRule.users().isEmpty() || classRule.users().contains(user))
                && (classRule.databases().isEmpty() || classRule.databases().contains(database))
                && (classRule.keywords().isEmpty()
                        || classRule.keywords().contains(keyword(reading)))
                && (classRule.kinds().isEmpty()
                        || classRule
                                .kinds()
                                .contains(reading.kind().name().toLowerCase(Locale.ROOT)))
                && (classRule.fingerprints().isEmpty()
                        || classRule.fingerprints().contains(reading.fingerprint()))
                && (classRule.tables().isEmpty()
                        || touches(classRule.tables(), reading.reads())
                        || touches(classRule.tables(), reading.writes()))
                && (classRule.setting().isEmpty()
                        || settings.containsKey(classRule.setting())
                                && (classRule.value().isEmpty()
                                        || classRule
                                                .value()
                                                .equals(settings.get(classRule.setting()))));
    }

    private static boolean touches(Set<Pattern> patterns, Set<String> tables) {
        return tables.stream()
                .anyMatch(
                        text ->
                                patterns.stream()
                                        .anyMatch(pattern -> pattern.matcher(text).matches()));
    }

    /** The leading keyword in capitals, also of a statement that was not understood otherwise. */
    static String keyword(StatementAnalysis reading) {
        String normal =
                reading.kind() == Kind.UNKNOWN
                        ? reading.normal().substring("unknown ".length())
                        : reading.normal();
        int end = normal.indexOf(' ');
        return (end < 0 ? normal : normal.substring(0, end)).toUpperCase(Locale.ROOT);
    }

    /** True if the client may be asked for the data of an insert. */
    public static boolean mayTakeData(StatementAnalysis reading) {
        return reading.takesData()
                || reading.kind() == Kind.UNKNOWN && keyword(reading).equals("INSERT");
    }

    /** True if the statement plainly waits for data, and cannot run before its end. */
    public static boolean waitsForData(StatementAnalysis reading) {
        return reading.kind() == Kind.LOAD && reading.takesData();
    }
}
