package ashlink.loadtest;

import ashlink.config.EngineConfig;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.emulator.EmulatedEngine;
import ashlink.emulator.FaultInjection.Break;
import ashlink.emulator.FaultInjection.Place;
import ashlink.emulator.Ledger;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.fixture.TestSettings;
import ashlink.router.Router;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/** A router and emulated engines for one test. */
final class TestFleet implements AutoCloseable {

    static final long NS_PER_SECOND = 1_000_000_000L;
    static final long NS_PER_MS = 1_000_000L;

    final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
    final List<NativeClient> clients = new ArrayList<>();
    String extraSettings = "";
    Router router;

    /** Creates a fleet with engines given as {@code name:kind}. */
    static TestFleet of(String... engines) throws Exception {
        TestFleet fleet = new TestFleet();
        for (String nameAndKind : engines) {
            fleet.engine(
                    nameAndKind.substring(0, nameAndKind.indexOf(':')),
                    nameAndKind.substring(nameAndKind.indexOf(':') + 1),
                    true);
        }
        return fleet;
    }

    TestFleet engine(String name, String kind, boolean supportsCancel) throws Exception {
        EmulatedEngine engine =
                new EmulatedEngine(
                        new EngineConfig(
                                name,
                                new InetSocketAddress("127.0.0.1", 0),
                                "halle-1",
                                kind,
                                8,
                                16 << 10,
                                1,
                                1.7,
                                0.6,
                                2,
                                false,
                                0.6,
                                0.35,
                                0,
                                0,
                                3 * NS_PER_SECOND,
                                supportsCancel,
                                64,
                                1,
                                null));
        engine.start();
        engines.put(name, engine);
        return this;
    }

    TestFleet with(String settings) {
        extraSettings += settings;
        return this;
    }

    TestFleet start() throws Exception {
        return start(DefaultWorkloadManager::new);
    }

    TestFleet start(Function<Settings, WorkloadManager> workloadManagerFactory) throws Exception {
        router =
                new Router(
                        TestSettings.of(
                                "r1", "halle-1", 0, 1, 7, 0, engines.values(), extraSettings),
                        workloadManagerFactory);
        router.start();
        return this;
    }

    NativeClient client(String user) throws Exception {
        NativeClient nativeClient = NativeClient.connect(router.address(), user);
        clients.add(nativeClient);
        return nativeClient;
    }

    Reply query(String user, String statement) throws Exception {
        return client(user).query("", statement, Map.of(), 30 * NS_PER_SECOND);
    }

    EmulatedEngine engine(String name) {
        return engines.get(name);
    }

    /** Makes every engine break at a place, as often as given. */
    void breakAllAt(Place place, Break breakMode, int times) {
        engines.values().forEach(engine -> engine.faults().breakAt(place, breakMode, times));
    }

    /** Returns the ledger entries of all engines; health checks are not recorded. */
    List<Ledger.Entry> ledger() {
        List<Ledger.Entry> entries = new ArrayList<>();
        engines.values().forEach(engine -> entries.addAll(engine.ledger().entries()));
        return entries;
    }

    /** Returns how often a statement with the tag became executable at an engine. */
    long executions(String tag) {
        return ledger().stream()
                .filter(entry -> entry.tag.equals(tag) && entry.ranNs() > 0)
                .count();
    }

    static void await(String description, BooleanSupplier condition) throws InterruptedException {
        long deadlineNs = System.nanoTime() + 20 * NS_PER_SECOND;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNs) {
                throw new AssertionError("timed out after 20 s while waiting for: " + description);
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        clients.forEach(NativeClient::close);
        if (router != null) {
            router.kill();
        }
        engines.values().forEach(EmulatedEngine::crash);
    }
}
