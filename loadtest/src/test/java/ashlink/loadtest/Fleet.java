package ashlink.loadtest;

import ashlink.config.EngineConfig;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.emulator.EmulatedEngine;
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

/** A router and stand-ins for one test. */
final class Fleet implements AutoCloseable {

    static final long S = 1_000_000_000L;
    static final long MS = 1_000_000L;

    final Map<String, EmulatedEngine> engines = new LinkedHashMap<>();
    final List<NativeClient> clients = new ArrayList<>();
    String extra = "";
    Router router;

    /** Engines given as {@code name:kind}. */
    static Fleet of(String... engines) throws Exception {
        Fleet fleet = new Fleet();
        for (String text : engines) {
            fleet.engine(
                    text.substring(0, text.indexOf(':')),
                    text.substring(text.indexOf(':') + 1),
                    true);
        }
        return fleet;
    }

    Fleet engine(String name, String kind, boolean heedsCancel) throws Exception {
        EmulatedEngine emulatedEngine =
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
                                3 * S,
                                heedsCancel,
                                64,
                                1,
                                null));
        emulatedEngine.start();
        engines.put(name, emulatedEngine);
        return this;
    }

    Fleet with(String settings) {
        extra += settings;
        return this;
    }

    Fleet start() throws Exception {
        return start(DefaultWorkloadManager::new);
    }

    Fleet start(Function<Settings, WorkloadManager> module) throws Exception {
        router =
                new Router(
                        TestSettings.of("r1", "halle-1", 0, 1, 7, 0, engines.values(), extra),
                        module);
        router.start();
        return this;
    }

    NativeClient client(String user) throws Exception {
        NativeClient nativeClient = NativeClient.connect(router.address(), user);
        clients.add(nativeClient);
        return nativeClient;
    }

    Reply query(String user, String statement) throws Exception {
        return client(user).query("", statement, Map.of(), 30 * S);
    }

    EmulatedEngine engine(String name) {
        return engines.get(name);
    }

    /** All that engines noted, but probes. */
    List<Ledger.Entry> ledger() {
        List<Ledger.Entry> all = new ArrayList<>();
        engines.values().forEach(emulatedEngine -> all.addAll(emulatedEngine.ledger().entries()));
        return all;
    }

    /** Runs of a tag that had all they needed to run. */
    long runs(String tag) {
        return ledger().stream()
                .filter(entry -> entry.tag.equals(tag) && entry.ranNs() > 0)
                .count();
    }

    static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + 20 * S;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("waited in vain for: " + what);
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
