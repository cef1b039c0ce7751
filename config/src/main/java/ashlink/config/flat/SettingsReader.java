package ashlink.config.flat;

import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Reads the settings of a router from fields with the flat names of the platform. Error messages
 * use the platform's names of the settings.
 */
public final class SettingsReader {

    private static final String ENGINE_KIND_CORES = "extra.kind-cores";
    private static final String ENGINE_KIND_MEMORY_MB = "extra.ram-of-kind-mb";
    private static final String QUERY_CLASS_THREADS = "extra.width-by-class";
    private static final String LIST_SEPARATOR = ",";

    private final Fields fields;

    private SettingsReader(Fields fields) {
        this.fields = fields;
    }

    /**
     * Reads the settings from the fields of a start message.
     *
     * @throws IllegalArgumentException if a setting is missing or invalid; the message contains the
     *     name of the setting
     */
    public static Settings read(Fields fields) {
        try {
            return new SettingsReader(fields).settings();
        } catch (FieldException e) {
            throw new IllegalArgumentException(e.getMessage(), e);
        }
    }

    private Settings settings() {
        return new Settings(
                fields.integer("nonce64"),
                (int) fields.integer("balancers"),
                (int) fields.integer("position", 0),
                fields.text("zone", ""),
                queryClasses(),
                engineKinds(),
                capabilities(),
                policyLimits(),
                tenants(),
                fields.number("over-share-worth", 1));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        long count = fields.integer("parties.count", 0);
        for (int i = 0; i < count; i++) {
            String prefix = "parties." + i + ".";
            tenants.add(
                    new Tenant(
                            fields.required(prefix + "name"),
                            fields.number(prefix + "quota-per-s", 0)));
        }
        return tenants;
    }

    private List<QueryClass> queryClasses() {
        List<String> threads = list(QUERY_CLASS_THREADS);
        List<String> locksTables = list("extra.writes-tables");
        List<String> waitsForTableLocks = list("extra.waits-for-loads");
        List<QueryClass> classes = new ArrayList<>();
        long count = fields.integer("classes.count");
        for (int i = 0; i < count; i++) {
            classes.add(
                    queryClass(
                            "classes." + i + ".",
                            (int) numberAt(i, QUERY_CLASS_THREADS, threads, 1),
                            flagAt(i, locksTables),
                            flagAt(i, waitsForTableLocks)));
        }
        return classes;
    }

    private QueryClass queryClass(
            String prefix, int threads, boolean locksTables, boolean waitsForTableLocks) {
        RetrySafety retrySafety = retrySafety(prefix + "effect");
        return new QueryClass(
                fields.required(prefix + "name"),
                fields.integer(prefix + "promise-ns"),
                fields.number(prefix + "aim-stretch", 0),
                fields.integer(prefix + "deadline-ns"),
                retrySafety,
                retrySafety == RetrySafety.DEDUPLICATED
                        ? deduplicationScope(prefix + "group")
                        : DeduplicationScope.ALL,
                fields.integer(prefix + "memory-span-ns", 0),
                fields.number(prefix + "gain"),
                fields.number(prefix + "late-share", 0),
                fields.flag(prefix + "one-at-a-time"),
                set(prefix + "host-types-allowed"),
                set(prefix + "failure-domains-open"),
                threads,
                locksTables,
                waitsForTableLocks);
    }

    private RetrySafety retrySafety(String name) {
        return switch (fields.required(name)) {
            case "idempotent" -> RetrySafety.IDEMPOTENT;
            case "deduplicated" -> RetrySafety.DEDUPLICATED;
            case "at_most_once" -> RetrySafety.AT_MOST_ONCE;
            default -> throw invalidSetting(name, "idempotent, deduplicated or at_most_once");
        };
    }

    private DeduplicationScope deduplicationScope(String name) {
        return switch (fields.required(name)) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw invalidSetting(name, "all, zone or cell");
        };
    }

    private IllegalArgumentException invalidSetting(String name, String accepted) {
        return new IllegalArgumentException(
                "invalid setting "
                        + name
                        + ": found "
                        + fields.text(name)
                        + ", expected "
                        + accepted);
    }

    private List<EngineKind> engineKinds() {
        List<String> names = list("host-types");
        List<String> cores = list(ENGINE_KIND_CORES);
        List<String> memoryMb = list(ENGINE_KIND_MEMORY_MB);
        List<EngineKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            kinds.add(
                    new EngineKind(
                            names.get(i),
                            (int) numberAt(i, ENGINE_KIND_CORES, cores, 1),
                            numberAt(i, ENGINE_KIND_MEMORY_MB, memoryMb, 0)));
        }
        return kinds;
    }

    private Capabilities capabilities() {
        return new Capabilities(
                fields.flag("ceilings.may-probe"),
                fields.flag("ceilings.cancel"),
                (int) fields.integer("ceilings.attempts-cap"),
                fields.flag("ceilings.retry-after")
                        ? fields.integer("ceilings.max-retry-after-ns", 0)
                        : 0,
                fields.flag("extra.takes-grants"),
                fields.flag("extra.lanes-count"),
                fields.number("extra.largest-share", 1),
                fields.text("extra.overbooked", "").equals("queue"),
                fields.integer("extra.progress-pace-ns", 0),
                fields.flag("extra.cost-in-answers"),
                fields.text("stats.via", "off").equals("inline"),
                fields.text("discovery", "push").equals("ask"));
    }

    private PolicyLimits policyLimits() {
        return new PolicyLimits(
                fields.integer("rules.stop-sending-within-ns", 0),
                fields.number("rules.cold-from", 0),
                fields.integer("rules.cold-ns", 0),
                fields.number("rules.overload-factor", 0),
                fields.integer("rules.fall-ns", 0),
                fields.integer("rules.turn-gap-ns", 0),
                fields.number("rules.free-resends", 0),
                fields.number("rules.extra-per-request", 0),
                fields.integer("rules.counted-over-ns", 0));
    }

    private List<String> list(String name) {
        String value = fields.text(name, "");
        return value.isEmpty() ? List.of() : List.of(value.split(LIST_SEPARATOR));
    }

    private Set<String> set(String name) {
        return new LinkedHashSet<>(list(name));
    }

    /** Returns a number of a list, or {@code defaultValue} if the list is too short. */
    private static double numberAt(
            int index, String name, List<String> values, double defaultValue) {
        if (index >= values.size()) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(values.get(index));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "invalid setting "
                            + name
                            + ": found "
                            + values.get(index)
                            + ", expected a list of numbers",
                    e);
        }
    }

    /** Returns a flag of a list, or false if the list is too short. */
    private static boolean flagAt(int index, List<String> values) {
        return index < values.size() && values.get(index).equals("true");
    }
}
