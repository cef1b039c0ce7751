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
        for (ClassRule r : config.rules()) {
            number++;
            if (matches(r, user, database, reading, settings)) {
                QueryClass c = classes.get(r.queryClass());
                boolean named = !r.keywords().isEmpty() || !r.kinds().isEmpty();
                boolean dropped =
                        c.retrySafety() == RetrySafety.DEDUPLICATED
                                && named
                                && reading.kind() != Kind.UNKNOWN
                                && reading.kind() != Kind.SEVERAL;
                if (reading.harmless() || c.retrySafety() == RetrySafety.AT_MOST_ONCE || dropped) {
                    return new Decision(c, number, false);
                }
                return new Decision(strict(c), number, true);
            }
        }
        return new Decision(
                classes.get(
                        reading.harmless() ? config.defaultClass() : config.defaultWriteClass()),
                0,
                false);
    }

    private QueryClass strict(QueryClass c) {
        return classes.getOrDefault(
                RouterConfig.strictName(c.name()), classes.get(config.defaultWriteClass()));
    }

    private static boolean matches(
            ClassRule r,
            String user,
            String database,
            StatementAnalysis reading,
            Map<String, String> settings) {
        return (r.users().isEmpty() || r.users().contains(user))
                && (r.databases().isEmpty() || r.databases().contains(database))
                && (r.keywords().isEmpty() || r.keywords().contains(keyword(reading)))
                && (r.kinds().isEmpty()
                        || r.kinds().contains(reading.kind().name().toLowerCase(Locale.ROOT)))
                && (r.fingerprints().isEmpty() || r.fingerprints().contains(reading.fingerprint()))
                && (r.tables().isEmpty()
                        || touches(r.tables(), reading.reads())
                        || touches(r.tables(), reading.writes()))
                && (r.setting().isEmpty()
                        || settings.containsKey(r.setting())
                                && (r.value().isEmpty()
                                        || r.value().equals(settings.get(r.setting()))));
    }

    private static boolean touches(Set<Pattern> patterns, Set<String> tables) {
        return tables.stream()
                .anyMatch(t -> patterns.stream().anyMatch(p -> p.matcher(t).matches()));
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
