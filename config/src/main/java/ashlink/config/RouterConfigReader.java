package ashlink.config;

import ashlink.config.RouterConfig.Bounds;
import ashlink.config.RouterConfig.CaptureSpec;
import ashlink.config.RouterConfig.ClassRule;
import ashlink.config.RouterConfig.ControlSpec;
import ashlink.config.RouterConfig.EngineLogin;
import ashlink.config.RouterConfig.EngineSpec;
import ashlink.config.RouterConfig.Gauge;
import ashlink.config.RouterConfig.Gauges;
import ashlink.config.RouterConfig.HttpSpec;
import ashlink.config.RouterConfig.UserSpec;
import ashlink.decisions.api.Capabilities;
import ashlink.decisions.api.DeduplicationScope;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.PolicyLimits;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RetrySafety;
import ashlink.decisions.api.Tenant;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Reads the settings of a router: {@code (router ...)}. */
public final class RouterConfigReader {

    private static final long MS = 1_000_000L;
    private static final long S = 1_000 * MS;
    private static final long HOUR = 3_600 * S;

    /** Kinds of statement, as the SQL reader names them. */
    private static final Set<String> KINDS =
            Set.of(
                    "read",
                    "write",
                    "load",
                    "ddl",
                    "session",
                    "transaction",
                    "administration",
                    "several",
                    "unknown");

    private static final long MIB = 1 << 20;
    private static final long GIB = 1L << 30;

    /** What a class is to the rules of effect, in the words of settings. */
    private enum Repeat {
        SAFE,
        DEDUPLICATED,
        NEVER
    }

    /** Phases that a list may give. */
    private enum Listed {
        READY,
        DRAINING
    }

    private final List<ConfigProblem> problems = new ArrayList<>();
    private Section top;

    private RouterConfigReader() {}

    /** Reads a file whole; an exception tells all that is wrong with it. */
    public static RouterConfig read(Path path) throws ConfigException {
        RouterConfigReader reader = new RouterConfigReader();
        return reader.read(path.toString(), SExprReader.read(path, reader.problems));
    }

    /** Reads a text that is named {@code file} in errors. */
    public static RouterConfig read(String file, String text) throws ConfigException {
        RouterConfigReader reader = new RouterConfigReader();
        return reader.read(file, SExprReader.read(file, text, reader.problems));
    }

    private RouterConfig read(String file, List<Node> nodes) throws ConfigException {
        top = Section.top(file, nodes, "router", problems);
        RouterConfig config = null;
        if (problems.isEmpty()) {
            config = model();
            top.close();
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return config;
    }

    private RouterConfig model() {
        String name = top.text("name", null);
        int gateways = (int) top.whole("gateways", 1L, 1, 100_000);
        int position = (int) top.whole("position", 0L, 0, gateways - 1L);
        List<EngineKind> kinds = kinds();
        Set<String> zones = top.words("zones");
        String zone = top.text("zone", zones.isEmpty() ? "" : zones.iterator().next());
        oneOf(top, "zone", zone, zones);
        Map<String, EngineSpec> engines = engines(kinds, zones);
        Map<String, QueryClass> classes = classes(kinds, zones);
        List<Tenant> tenants = tenants();
        Map<String, UserSpec> users = users(tenants);
        List<ClassRule> rules = rules(classes, users);
        String defaultClass = top.text("default-class", null);
        oneOf(top, "default-class", defaultClass, classes.keySet());
        String defaultWrite = top.text("default-write-class", null);
        QueryClass write = classes.get(defaultWrite);
        if (write == null || write.retrySafety() != RetrySafety.AT_MOST_ONCE) {
            top.problem(
                    "default-write-class",
                    "a class with (repeat never): "
                            + names(
                                    classes.values().stream()
                                            .filter(
                                                    queryClass ->
                                                            queryClass.retrySafety()
                                                                    == RetrySafety.AT_MOST_ONCE)
                                            .toList()));
        }
        InetSocketAddress listen;
        InetSocketAddress metrics;
        try (Section section = top.section("listen")) {
            listen =
                    section.address(
                            "native",
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 9000));
            metrics = section.has("metrics") ? section.address("metrics", null) : null;
        }
        EngineLogin login;
        try (Section section = top.section("engine-login")) {
            login = new EngineLogin(section.text("user", "default"), section.text("password", ""));
        }
        Path stateDir = top.has("state-dir") ? Path.of(top.text("state-dir", "")) : null;
        return new RouterConfig(
                name,
                zone,
                top.whole("seed", 1L, 0, Long.MAX_VALUE / 2),
                gateways,
                position,
                listen,
                metrics,
                stateDir,
                bounds(),
                kinds,
                engines,
                classes,
                rules,
                defaultClass,
                defaultWrite,
                users,
                tenants,
                top.number("over-share-worth", 1.0, 0, 1),
                allowed(),
                limits(),
                gauges(),
                login,
                capture(),
                http(),
                control());
    }

    private static String names(Collection<QueryClass> classes) {
        return classes.isEmpty()
                ? "none is set"
                : classes.stream().map(QueryClass::name).collect(Collectors.joining(", "));
    }

    private static void oneOf(
            Section section, String setting, String value, Collection<String> names) {
        if (!value.isEmpty() && !names.contains(value)) {
            section.problem(
                    setting,
                    names.isEmpty() ? "none is set" : "one of " + String.join(", ", names));
        }
    }

    private static void allOf(
            Section section, String setting, Set<String> values, Collection<String> names) {
        for (String text : values) {
            if (!names.contains(text)) {
                section.problem(setting, "any of " + String.join(", ", names) + ", not " + text);
            }
        }
    }

    private List<EngineKind> kinds() {
        List<EngineKind> kinds = new ArrayList<>();
        top.named("kind")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                kinds.add(
                                        new EngineKind(
                                                name,
                                                (int) section.whole("cores", null, 1, 4096),
                                                section.size("memory", 0L, 0, 1L << 50)
                                                        / (double) MIB));
                            }
                        });
        return kinds;
    }

    private Map<String, EngineSpec> engines(List<EngineKind> kinds, Set<String> zones) {
        Map<String, EngineSpec> engines = new LinkedHashMap<>();
        List<String> names = kinds.stream().map(EngineKind::name).toList();
        top.named("engine")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                EngineSpec engineSpec =
                                        new EngineSpec(
                                                name,
                                                section.address("address", null),
                                                section.text("zone", ""),
                                                section.text("kind", ""),
                                                section.whole("cell", 0L, 0, Integer.MAX_VALUE),
                                                section.choice("phase", Listed.READY, Listed.class)
                                                                == Listed.READY
                                                        ? EndpointState.READY
                                                        : EndpointState.DRAINING);
                                oneOf(section, "zone", engineSpec.zone(), zones);
                                oneOf(section, "kind", engineSpec.kind(), names);
                                engines.put(name, engineSpec);
                            }
                        });
        return engines;
    }

    private Map<String, QueryClass> classes(List<EngineKind> kinds, Set<String> zones) {
        Map<String, QueryClass> classes = new LinkedHashMap<>();
        top.named("class")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                Repeat repeat = section.choice("repeat", null, Repeat.class);
                                RetrySafety effect =
                                        switch (repeat) {
                                            case SAFE -> RetrySafety.IDEMPOTENT;
                                            case DEDUPLICATED -> RetrySafety.DEDUPLICATED;
                                            case NEVER -> RetrySafety.AT_MOST_ONCE;
                                        };
                                QueryClass queryClass =
                                        new QueryClass(
                                                name,
                                                section.duration("aim", null, 0, HOUR),
                                                section.number("aim-stretch", 0.0, 0, 100),
                                                section.duration("deadline", null, MS, 24 * HOUR),
                                                effect,
                                                section.choice(
                                                        "repeat-group",
                                                        DeduplicationScope.ALL,
                                                        DeduplicationScope.class),
                                                section.duration("repeat-span", 0L, 0, 24 * HOUR),
                                                section.number("worth", 1.0, 0, 1e6),
                                                section.number("late-share", 0.0, 0, 1),
                                                section.flag("in-order", false),
                                                section.words("only-kinds"),
                                                section.words("only-zones"),
                                                (int) section.whole("threads", 1L, 1, 1024),
                                                section.flag("holds-tables", false),
                                                section.flag("waits-for-tables", false));
                                allOf(
                                        section,
                                        "only-kinds",
                                        queryClass.engineKinds(),
                                        kinds.stream().map(EngineKind::name).toList());
                                allOf(section, "only-zones", queryClass.zones(), zones);
                                if (name.contains("/")) {
                                    section.problem("class", "a name without a slash");
                                }
                                classes.put(name, queryClass);
                            }
                        });
        if (classes.isEmpty()) {
            top.problem("class", "one section (class NAME ...) at least");
        }
        return classes;
    }

    private List<Tenant> tenants() {
        List<Tenant> tenants = new ArrayList<>();
        top.named("tenant")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                tenants.add(new Tenant(name, section.rate("quota", 0.0, 1e9)));
                            }
                        });
        return tenants;
    }

    private Map<String, UserSpec> users(List<Tenant> tenants) {
        Map<String, UserSpec> users = new LinkedHashMap<>();
        top.named("user")
                .forEach(
                        (name, section) -> {
                            try (section) {
                                UserSpec userSpec =
                                        new UserSpec(
                                                name,
                                                section.text("password-hash", ""),
                                                section.text("tenant", ""));
                                oneOf(
                                        section,
                                        "tenant",
                                        userSpec.tenant(),
                                        tenants.stream().map(Tenant::name).toList());
                                if (!userSpec.passwordHash().isEmpty()
                                        && !Passwords.isHash(userSpec.passwordHash())) {
                                    section.problem(
                                            "password-hash", "what ./ashlink hash-password prints");
                                }
                                users.put(name, userSpec);
                            }
                        });
        return users;
    }

    private List<ClassRule> rules(Map<String, QueryClass> classes, Map<String, UserSpec> users) {
        List<ClassRule> rules = new ArrayList<>();
        for (Section section : top.each("rule")) {
            try (section) {
                Set<String> keywords =
                        section.words("keyword").stream()
                                .map(k -> k.toUpperCase(Locale.ROOT))
                                .collect(Collectors.toUnmodifiableSet());
                Set<String> prints = section.words("fingerprint");
                ClassRule rule =
                        new ClassRule(
                                section.text("class", null),
                                section.words("user"),
                                section.words("database"),
                                keywords,
                                section.words("kind"),
                                section.words("table").stream()
                                        .map(RouterConfigReader::pattern)
                                        .collect(Collectors.toUnmodifiableSet()),
                                prints,
                                section.text("setting", ""),
                                section.text("value", ""));
                allOf(section, "kind", rule.kinds(), KINDS);
                if (!prints.stream().allMatch(f -> f.matches("[0-9a-f]{32}"))) {
                    section.problem(
                            "fingerprint", "32 digits of hex, as ./ashlink explain prints them");
                }
                oneOf(section, "class", rule.queryClass(), classes.keySet());
                allOf(section, "user", rule.users(), users.keySet());
                rules.add(rule);
            }
        }
        return rules;
    }

    /** A table's name in which {@code *} stands for any characters. */
    private static Pattern pattern(String word) {
        return Pattern.compile(
                Arrays.stream(word.split("\\*", -1))
                        .map(Pattern::quote)
                        .collect(Collectors.joining(".*")));
    }

    private Capabilities allowed() {
        try (Section section = top.section("allowed")) {
            return new Capabilities(
                    section.flag("probes", true),
                    section.flag("cancels", true),
                    (int) section.whole("attempts", 3L, 1, 100),
                    section.duration("longest-retry-after", 500 * MS, 0, HOUR),
                    section.flag("grants", false),
                    section.flag("priorities", false),
                    section.number("largest-grant", 1.0, 0, 1),
                    section.flag("memory-queues", true),
                    section.duration("note-every", 0L, 0, HOUR),
                    section.flag("cost-in-answers", false),
                    section.flag("reports-inline", true),
                    false);
        }
    }

    private PolicyLimits limits() {
        try (Section section = top.section("limits")) {
            return new PolicyLimits(
                    section.duration("drain-grace", 2 * S, 0, HOUR),
                    section.number("cold-from", 0.0, 0, 1),
                    section.duration("cold-time", 0L, 0, HOUR),
                    section.number("cold-multiple", 0.0, 0, 100),
                    section.duration("cold-window", 0L, 0, HOUR),
                    section.duration("key-rest", 0L, 0, HOUR),
                    section.number("free-resends", 0.0, 0, 1e6),
                    section.number("resends-per-request", 0.0, 0, 100),
                    section.duration("resend-span", 0L, 0, HOUR));
        }
    }

    private ControlSpec control() {
        try (Section section = top.section("control")) {
            InetSocketAddress listen =
                    section.has("listen") ? section.address("listen", null) : null;
            Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
            section.named("peer")
                    .forEach(
                            (name, peer) -> {
                                try (peer) {
                                    peers.put(name, peer.address("address", null));
                                }
                            });
            String keys = section.text("keys", listen == null ? "" : null);
            if (listen != null && !top.has("state-dir")) {
                section.problem(
                        "listen",
                        "a control channel together with a state-dir, which keeps the notices");
            }
            return new ControlSpec(listen, Path.of(keys), Map.copyOf(peers));
        }
    }

    private HttpSpec http() {
        try (Section section = top.section("http")) {
            long page = section.size("page", MIB, 1024, 64 * MIB);
            HttpSpec http =
                    new HttpSpec(
                            section.has("listen") ? section.address("listen", null) : null,
                            section.has("spool") ? Path.of(section.text("spool", "")) : null,
                            page,
                            section.size("memory", 64 * 1024L, 0, GIB),
                            section.size("memory-all", 64 * MIB, MIB, 1024 * GIB),
                            section.size("spool-statement", GIB, 4 * page, 1024 * 1024 * GIB),
                            section.size("spool-user", 4 * GIB, 4 * page, 1024 * 1024 * GIB),
                            section.size("spool-all", 16 * GIB, 4 * page, 1024 * 1024 * GIB),
                            (int) section.whole("open", 10_000L, 1, 1_000_000),
                            (int) section.whole("open-user", 10_000L, 1, 1_000_000),
                            section.duration("unpolled", 30 * S, MS, HOUR),
                            section.duration("kept", 60 * S, MS, 24 * HOUR),
                            section.duration("linger", 10 * S, 0, HOUR),
                            (int) section.whole("tombstones", 10_000L, 0, 1_000_000),
                            section.duration("tombstone-time", 300 * S, 0, 24 * HOUR),
                            section.duration("longest-wait", 30 * S, 0, HOUR),
                            section.size("body", 16 * MIB, 1024, GIB),
                            (int) section.size("headers", 8 * 1024L, 1024, MIB),
                            (int) section.whole("connections", 10_000L, 1, 1_000_000),
                            section.duration("header-time", 10 * S, MS, HOUR),
                            section.duration("body-time", 30 * S, MS, HOUR),
                            section.duration("idle", 60 * S, MS, HOUR),
                            section.size("render", 64 * MIB, MIB, 1024 * GIB),
                            (int) section.whole("keys", 100_000L, 1, 10_000_000),
                            section.duration("key-time", 24 * HOUR, MS, 24 * 365 * HOUR),
                            peers(section));
            if (http.longestWaitNs() >= http.idleNs()) {
                section.problem("idle", "a duration over longest-wait");
            }
            return http;
        }
    }

    private Map<String, String> peers(Section section) {
        Map<String, String> peers = new LinkedHashMap<>();
        section.named("peer")
                .forEach(
                        (name, peer) -> {
                            try (peer) {
                                String url = peer.text("url", null);
                                if (!url.isEmpty() && !url.matches("https?://[^/ ]+")) {
                                    peer.problem(
                                            "url",
                                            "http://host:port or https://host:port, without a"
                                                    + " path");
                                }
                                peers.put(name, url);
                            }
                        });
        return Map.copyOf(peers);
    }

    private CaptureSpec capture() {
        try (Section section = top.section("capture")) {
            return new CaptureSpec(
                    section.has("dir") ? Path.of(section.text("dir", "")) : null,
                    section.size("segment", 64 * MIB, 4096, GIB),
                    section.size("keep", 4 * GIB, 4096, 1024 * 1024 * GIB),
                    (int) section.whole("queue", 65_536L, 16, 10_000_000),
                    section.duration("sync", S, MS, HOUR),
                    section.text("key-secret", ""));
        }
    }

    private Gauges gauges() {
        try (Section section = top.section("gauges")) {
            return new Gauges(
                    gauge(section, "waiting"),
                    gauge(section, "cores-busy"),
                    gauge(section, "memory-granted"),
                    gauge(section, "disks-busy"),
                    gauge(section, "in-hand"),
                    gauge(section, "work-ms"),
                    gauge(section, "memory-mb"),
                    gauge(section, "uptime-s"));
        }
    }

    private static List<Gauge> gauge(Section section, String name) {
        List<Gauge> gauges = new ArrayList<>();
        for (String word : section.words(name)) {
            int slash = word.indexOf('/');
            String divisor = slash < 0 ? "1" : word.substring(slash + 1);
            if (slash == 0 || !divisor.matches("[0-9]{1,9}") || Integer.parseInt(divisor) == 0) {
                section.problem(
                        name,
                        "names such as QueriesWaiting, or with a divisor such as"
                                + " CoresBusyPermille/1000");
            } else {
                gauges.add(
                        new Gauge(
                                slash < 0 ? word : word.substring(0, slash),
                                Integer.parseInt(divisor)));
            }
        }
        return List.copyOf(gauges);
    }

    private Bounds bounds() {
        try (Section section = top.section("bounds")) {
            return new Bounds(
                    (int) section.whole("connections", 20_000L, 1, 1_000_000),
                    (int) section.whole("open-requests", 10_000L, 1, 1_000_000),
                    (int) section.whole("queue", 65_536L, 16, 10_000_000),
                    section.size("held-answer", MIB, 0, GIB),
                    section.size("held-answers", 256 * MIB, 0, 1024 * GIB),
                    section.size("held-insert", 64 * MIB, 0, GIB),
                    section.size("held-inserts", 512 * MIB, 0, 1024 * GIB),
                    section.size("packet", 256 * MIB, 1024, 2 * GIB - 64),
                    section.duration("login", 5 * S, MS, HOUR),
                    section.duration("connect", 250 * MS, MS, HOUR),
                    section.duration("idle-engine", 15 * S, MS, 24 * HOUR),
                    section.duration("idle-client", HOUR, MS, 240 * HOUR),
                    (int) section.whole("engine-connections", 256L, 1, 100_000),
                    section.duration("stop", 10 * S, 0, HOUR),
                    section.size("stack", 512 * 1024L, 64 * 1024, 64 * MIB),
                    section.duration("answer-margin", 50 * MS, 0, HOUR));
        }
    }
}
