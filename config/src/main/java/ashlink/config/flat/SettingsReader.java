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
 * Reads the settings with which a router starts; complaints name the setting in the platform's
 * words.
 */
public final class SettingsReader {

    private final Fields fields;

    private SettingsReader(Fields fields) {
        this.fields = fields;
    }

    /**
     * Returns the settings of a start message, or throws {@link IllegalArgumentException} naming a
     * bad one.
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
                fields.whole("nonce64"),
                (int) fields.whole("balancers"),
                (int) fields.whole("position", 0),
                fields.text("zone", ""),
                classes(),
                kinds(),
                allowed(),
                limits(),
                tenants(),
                fields.number("over-share-worth", 1));
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        long count = fields.whole("parties.count", 0);
        for (int i = 0; i < count; i++) {
            String at = "parties." + i + ".";
            tenants.add(
                    new Tenant(fields.needed(at + "name"), fields.number(at + "quota-per-s", 0)));
        }
        return tenants;
    }

    private List<QueryClass> classes() {
        List<String> threads = list("extra.width-by-class");
        List<String> holds = list("extra.writes-tables");
        List<String> waits = list("extra.waits-for-loads");
        List<QueryClass> classes = new ArrayList<>();
        long count = fields.whole("classes.count");
        for (int i = 0; i < count; i++) {
            classes.add(
                    queryClass(
                            "classes." + i + ".",
                            (int) number("extra.width-by-class", threads, i, 1),
                            i < holds.size() && holds.get(i).equals("true"),
                            i < waits.size() && waits.get(i).equals("true")));
        }
        return classes;
    }

    private QueryClass queryClass(String at, int threads, boolean holds, boolean waits) {
        RetrySafety effect = effect(at + "effect");
        return new QueryClass(
                fields.needed(at + "name"),
                fields.whole(at + "promise-ns"),
                fields.number(at + "aim-stretch", 0),
                fields.whole(at + "deadline-ns"),
                effect,
                effect == RetrySafety.DEDUPLICATED ? group(at + "group") : DeduplicationScope.ALL,
                fields.whole(at + "memory-span-ns", 0),
                fields.number(at + "gain"),
                fields.number(at + "late-share", 0),
                fields.flag(at + "one-at-a-time"),
                set(at + "host-types-allowed"),
                set(at + "failure-domains-open"),
                threads,
                holds,
                waits);
    }

    private RetrySafety effect(String name) {
        return switch (fields.needed(name)) {
            case "idempotent" -> RetrySafety.IDEMPOTENT;
            case "deduplicated" -> RetrySafety.DEDUPLICATED;
            case "at_most_once" -> RetrySafety.AT_MOST_ONCE;
            default -> throw unknown(name);
        };
    }

    private DeduplicationScope group(String name) {
        return switch (fields.needed(name)) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw unknown(name);
        };
    }

    private IllegalArgumentException unknown(String name) {
        return new IllegalArgumentException(
                "setting " + name + " is unknown: " + fields.text(name));
    }

    private List<EngineKind> kinds() {
        List<String> names = list("host-types");
        List<String> cores = list("extra.kind-cores");
        List<String> memory = list("extra.ram-of-kind-mb");
        List<EngineKind> kinds = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            kinds.add(
                    new EngineKind(
                            names.get(i),
                            (int) number("extra.kind-cores", cores, i, 1),
                            number("extra.ram-of-kind-mb", memory, i, 0)));
        }
        return kinds;
    }

    private Capabilities allowed() {
        return new Capabilities(
                fields.flag("ceilings.may-probe"),
                fields.flag("ceilings.cancel"),
                (int) fields.whole("ceilings.attempts-cap"),
                fields.flag("ceilings.retry-after")
                        ? fields.whole("ceilings.max-retry-after-ns", 0)
                        : 0,
                fields.flag("extra.takes-grants"),
                fields.flag("extra.lanes-count"),
                fields.number("extra.largest-share", 1),
                fields.text("extra.overbooked", "").equals("queue"),
                fields.whole("extra.progress-pace-ns", 0),
                fields.flag("extra.cost-in-answers"),
                fields.text("stats.via", "off").equals("inline"),
                fields.text("discovery", "push").equals("ask"));
    }

    private PolicyLimits limits() {
        return new PolicyLimits(
                fields.whole("rules.stop-sending-within-ns", 0),
                fields.number("rules.cold-from", 0),
                fields.whole("rules.cold-ns", 0),
                fields.number("rules.overload-factor", 0),
                fields.whole("rules.fall-ns", 0),
                fields.whole("rules.turn-gap-ns", 0),
                fields.number("rules.free-resends", 0),
                fields.number("rules.extra-per-request", 0),
                fields.whole("rules.counted-over-ns", 0));
    }

    private List<String> list(String name) {
        String value = fields.text(name, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private Set<String> set(String name) {
        return new LinkedHashSet<>(list(name));
    }

    private double number(String name, List<String> values, int i, double absent) {
        if (i >= values.size()) {
            return absent;
        }
        try {
            return Double.parseDouble(values.get(i));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException(
                    "setting " + name + " is not a list of numbers: " + values.get(i), e);
        }
    }
}
