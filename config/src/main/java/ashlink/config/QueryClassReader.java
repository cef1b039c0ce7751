package ashlink.config;

import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Reads the query classes, {@code (class NAME ...)}, and the names of the default classes. */
final class QueryClassReader {

    private static final long MAX_DEADLINE_NS = 24 * Units.NS_PER_HOUR;
    private static final long MAX_DEDUPLICATION_NS = 24 * Units.NS_PER_HOUR;
    private static final double MAX_OBJECTIVE_PER_WORK = 100;
    private static final double MAX_PRIORITY_WEIGHT = 1e6;
    private static final int MAX_THREADS = 1024;

    private static final Map<String, RetrySafety> RETRY_SAFETIES = retrySafeties();
    private static final Map<String, DeduplicationScope> DEDUPLICATION_SCOPES =
            deduplicationScopes();

    private QueryClassReader() {}

    static Map<String, QueryClass> queryClasses(
            Section top, List<EngineKind> kinds, Set<String> zones) {
        List<String> kindNames = kinds.stream().map(EngineKind::name).toList();
        Map<String, QueryClass> classes = new LinkedHashMap<>();
        top.namedSections("class")
                .forEach(
                        (name, section) ->
                                classes.put(name, queryClass(name, section, kindNames, zones)));
        if (classes.isEmpty()) {
            top.reject("class", "at least one section (class NAME ...)");
        }
        return classes;
    }

    private static QueryClass queryClass(
            String name, Section queryClass, List<String> kindNames, Set<String> zones) {
        try (Section section = queryClass) {
            QueryClass result = queryClass(name, section);
            section.checkAllOf("only-kinds", result.engineKinds(), kindNames);
            section.checkAllOf("only-zones", result.zones(), zones);
            // The slash separates a class from its at-most-once variant.
            if (name.contains("/")) {
                section.reject("class", "a class name without a slash");
            }
            return result;
        }
    }

    private static QueryClass queryClass(String name, Section section) {
        RetrySafety retrySafety = section.choice("repeat", null, RETRY_SAFETIES);
        return new QueryClass(
                name,
                section.durationNs("aim", null, 0, Units.NS_PER_HOUR),
                section.number("aim-stretch", 0.0, 0, MAX_OBJECTIVE_PER_WORK),
                section.durationNs("deadline", null, Units.NS_PER_MS, MAX_DEADLINE_NS),
                retrySafety,
                section.choice("repeat-group", DeduplicationScope.ALL, DEDUPLICATION_SCOPES),
                section.durationNs("repeat-span", 0L, 0, MAX_DEDUPLICATION_NS),
                section.number("worth", 1.0, 0, MAX_PRIORITY_WEIGHT),
                section.number("late-share", 0.0, 0, 1),
                section.flag("in-order", false),
                section.words("only-kinds"),
                section.words("only-zones"),
                (int) section.integer("threads", 1L, 1, MAX_THREADS),
                section.flag("holds-tables", false),
                section.flag("waits-for-tables", false));
    }

    static String defaultClass(Section top, Map<String, QueryClass> classes) {
        String name = top.text("default-class", null);
        top.checkOneOf("default-class", name, classes.keySet());
        return name;
    }

    /** Reads the default class of statements that may write; the class must not allow retries. */
    static String defaultWriteClass(Section top, Map<String, QueryClass> classes) {
        String name = top.text("default-write-class", null);
        if (!classes.containsKey(name) || !isAtMostOnce(classes.get(name))) {
            String atMostOnceNames =
                    classes.values().stream()
                            .filter(QueryClassReader::isAtMostOnce)
                            .map(QueryClass::name)
                            .collect(Collectors.joining(", "));
            top.reject(
                    "default-write-class",
                    "a class with (repeat never): "
                            + (atMostOnceNames.isEmpty() ? "none is defined" : atMostOnceNames));
        }
        return name;
    }

    private static boolean isAtMostOnce(QueryClass queryClass) {
        return queryClass.retrySafety() == RetrySafety.AT_MOST_ONCE;
    }

    private static Map<String, RetrySafety> retrySafeties() {
        Map<String, RetrySafety> safetiesByWord = new LinkedHashMap<>();
        safetiesByWord.put("safe", RetrySafety.IDEMPOTENT);
        safetiesByWord.put("deduplicated", RetrySafety.DEDUPLICATED);
        safetiesByWord.put("never", RetrySafety.AT_MOST_ONCE);
        return safetiesByWord;
    }

    private static Map<String, DeduplicationScope> deduplicationScopes() {
        Map<String, DeduplicationScope> scopesByWord = new LinkedHashMap<>();
        scopesByWord.put("all", DeduplicationScope.ALL);
        scopesByWord.put("zone", DeduplicationScope.ZONE);
        scopesByWord.put("cell", DeduplicationScope.CELL);
        return scopesByWord;
    }
}
