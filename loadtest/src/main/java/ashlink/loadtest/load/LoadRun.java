package ashlink.loadtest.load;

import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfig.LoadClass;
import ashlink.loadtest.client.NativeClient;
import ashlink.loadtest.client.Reply;
import ashlink.wire.Block;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Generates open-loop load: queries arrive in a Poisson process at the configured rate,
 * independently of the completion of earlier queries, and their clients retry as the scenario says.
 * All random values of a query are drawn from the seed before the query is sent.
 */
public final class LoadRun {

    private static final long MS = 1_000_000L;
    private static final double SHORTEST_PATIENCE = 0.8;
    private static final int CONNECT_MS = 1_000;
    private static final Block ROWS =
            Block.of(
                    new Block.Column("id", "UInt64", List.of(1L, 2L)),
                    new Block.Column("value", "String", List.of("a", "b")));

    private record Arrival(
            long request,
            long atNs,
            LoadClass cls,
            double workMs,
            double patience,
            int router,
            String key,
            long group,
            boolean http) {}

    private final ScenarioConfig day;
    private final List<String> routers;
    private final Function<String, InetSocketAddress> addresses;
    private final HttpLoad http;
    private final LoadConditions conditions;
    private final List<ClientAttempt> tries = new ArrayList<>();
    private final Map<String, ArrayDeque<NativeClient>> idle = new ConcurrentHashMap<>();
    private final ExecutorService clients;

    /** Creates a load on the routers of a scenario; the conditions may change during the run. */
    public LoadRun(
            ScenarioConfig day,
            Function<String, InetSocketAddress> addresses,
            Function<String, InetSocketAddress> httpAddresses,
            LoadConditions conditions) {
        this.day = day;
        this.routers = day.routers().stream().map(ScenarioConfig.RouterSpec::name).toList();
        this.addresses = addresses;
        this.http = new HttpLoad(httpAddresses);
        this.conditions = conditions;
        this.clients =
                Executors.newCachedThreadPool(
                        task -> {
                            Thread thread = new Thread(null, task, "rig-client", 256 << 10);
                            thread.setDaemon(true);
                            return thread;
                        });
    }

    /** Runs until the scenario is over and all clients have finished; returns their attempts. */
    public List<ClientAttempt> run() throws InterruptedException {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(day.seed());
        ZigguratSampler.NormalizedGaussian gauss = ZigguratSampler.NormalizedGaussian.of(random);
        ZigguratSampler.Exponential gaps = ZigguratSampler.Exponential.of(random);
        long from = System.nanoTime();
        double at = 0;
        long request = 0;
        while (at < day.durationNs()) {
            double rate = day.ratePerS() * conditions.rate();
            at += gaps.sample() / rate * 1e9;
            Arrival arrival = draw(request++, (long) at, random, gauss);
            long wait = from + arrival.atNs() - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            clients.execute(() -> client(arrival));
        }
        clients.shutdown();
        long longest =
                day.load().stream()
                        .mapToLong(
                                loadClass ->
                                        (loadClass.timeoutNs() + loadClass.retryDelayNs())
                                                * (loadClass.retries() + 1))
                        .max()
                        .orElse(0);
        clients.awaitTermination(longest + 5_000 * MS, TimeUnit.NANOSECONDS);
        idle.values().forEach(arrayDeque -> arrayDeque.forEach(NativeClient::close));
        synchronized (tries) {
            return new ArrayList<>(tries);
        }
    }

    private Arrival draw(
            long request,
            long atNs,
            UniformRandomProvider random,
            ZigguratSampler.NormalizedGaussian gauss) {
        double which = random.nextDouble();
        LoadClass cls = day.load().get(day.load().size() - 1);
        for (LoadClass loadClass : day.load()) {
            which -= loadClass.fraction();
            if (which < 0) {
                cls = loadClass;
                break;
            }
        }
        double work =
                conditions.work(cls.name())
                        * cls.workNs()
                        / (double) MS
                        * Math.exp(cls.spread() * gauss.sample() - cls.spread() * cls.spread() / 2);
        int key = cls.keys() > 0 ? random.nextInt(cls.keys()) : -1;
        // Queries with the same key use the same router; the others are spread at random.
        int router = key >= 0 ? key % routers.size() : random.nextInt(routers.size());
        int hot = routers.indexOf(conditions.hotRouter());
        boolean toHotRouter = random.nextDouble() < conditions.hotRouterShare();
        boolean toHotGroup = random.nextDouble() < conditions.hotGroupShare();
        int group = random.nextInt(cls.tableGroups());
        router = key < 0 && hot >= 0 && toHotRouter ? hot : router;
        double patience = SHORTEST_PATIENCE + (1 - SHORTEST_PATIENCE) * random.nextDouble();
        boolean overHttp = day.httpFraction() > 0 && random.nextDouble() < day.httpFraction();
        return new Arrival(
                request,
                atNs,
                cls,
                work,
                patience,
                router,
                key < 0 ? null : "k" + key,
                toHotGroup ? 0 : group,
                overHttp);
    }

    private void client(Arrival arrival) {
        long firstNs = System.nanoTime();
        for (int n = 0; n <= arrival.cls().retries(); n++) {
            String router =
                    routers.get(
                            (arrival.router() + (arrival.key() == null ? n : 0)) % routers.size());
            ClientAttempt clientAttempt = attempt(arrival, n, router, firstNs);
            synchronized (tries) {
                tries.add(clientAttempt);
            }
            boolean harmless = clientAttempt.isRefused() || !clientAttempt.sent();
            if (clientAttempt.reply().kind() == Reply.Kind.SERVED
                    || arrival.cls().write() && !harmless) {
                return;
            }
            try {
                TimeUnit.NANOSECONDS.sleep(arrival.cls().retryDelayNs());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private ClientAttempt attempt(Arrival arrival, int n, String router, long firstNs) {
        String tag = arrival.request() + "." + n;
        long patience = (long) (arrival.cls().timeoutNs() * arrival.patience());
        return arrival.http()
                ? overHttp(arrival, n, tag, router, firstNs, patience)
                : overNative(arrival, n, tag, router, firstNs, patience);
    }

    private static Map<String, String> settings(Arrival arrival, long patience) {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("max_execution_time", String.format(Locale.ROOT, "%.3f", patience / 1e9));
        settings.put("ashlink_work_ms", String.format(Locale.ROOT, "%.1f", arrival.workMs()));
        settings.put(
                "ashlink_memory_mb", String.format(Locale.ROOT, "%.0f", arrival.cls().memoryMb()));
        settings.put("ashlink_tables", Long.toString(arrival.group()));
        if (arrival.key() != null) {
            settings.put("ashlink_key", arrival.key());
        }
        return settings;
    }

    private ClientAttempt overHttp(
            Arrival arrival, int n, String tag, String router, long firstNs, long patience) {
        long from = System.nanoTime();
        HttpLoad.Seen seen =
                http.run(
                        router,
                        arrival.cls(),
                        statement(arrival, tag),
                        settings(arrival, patience),
                        "request-" + arrival.request(),
                        patience);
        return new ClientAttempt(
                arrival.request(),
                tag,
                n,
                arrival.cls().name(),
                arrival.key(),
                router,
                arrival.workMs(),
                arrival.cls().threads(),
                firstNs,
                from,
                from + patience,
                seen.sent(),
                seen.reply(),
                false,
                "http");
    }

    private ClientAttempt overNative(
            Arrival arrival, int n, String tag, String router, long firstNs, long patience) {
        LoadClass loadClass = arrival.cls();
        NativeClient client = null;
        long from = System.nanoTime();
        Reply reply;
        boolean sent = false;
        boolean stray = false;
        try {
            client = take(router, loadClass.user());
            from = System.nanoTime();
            client.sendQuery(tag, statement(arrival, tag), settings(arrival, patience));
            sent = true;
            reply = client.await(loadClass.write() ? List.of(ROWS) : List.of(), from + patience);
            stray = reply.isFinal() && client.hasStray();
        } catch (IOException e) {
            reply =
                    new Reply(
                            Reply.Kind.LOST,
                            0,
                            String.valueOf(e.getMessage()),
                            0,
                            0,
                            System.nanoTime());
        }
        if (client != null && reply.isFinal() && !stray) {
            idle.computeIfAbsent(router + "/" + loadClass.user(), text -> new ArrayDeque<>());
            synchronized (idle) {
                idle.get(router + "/" + loadClass.user()).push(client);
            }
        } else if (client != null) {
            client.close();
        }
        return new ClientAttempt(
                arrival.request(),
                tag,
                n,
                loadClass.name(),
                arrival.key(),
                router,
                arrival.workMs(),
                loadClass.threads(),
                firstNs,
                from,
                from + patience,
                sent,
                reply,
                stray,
                "native");
    }

    /** Returns an idle connection that is still open, or a new one. */
    private NativeClient take(String router, String user) throws IOException {
        while (true) {
            NativeClient nativeClient;
            synchronized (idle) {
                ArrayDeque<NativeClient> arrayDeque = idle.get(router + "/" + user);
                nativeClient = arrayDeque == null ? null : arrayDeque.poll();
            }
            if (nativeClient == null) {
                NativeClient fresh = new NativeClient(null, ashlink.wire.Revision.HIGHEST);
                fresh.open(addresses.apply(router), user, "", "default", CONNECT_MS);
                return fresh;
            }
            if (!nativeClient.isClosedByPeer()) {
                return nativeClient;
            }
            nativeClient.close();
        }
    }

    private static String statement(Arrival arrival, String tag) {
        LoadClass loadClass = arrival.cls();
        String sim =
                String.format(
                        Locale.ROOT,
                        "/* sim tag=%s work_ms=%.1f threads=%d io=%.2f memory_mb=%.0f tables=%d"
                                + " holds=%d waits=%d%s */",
                        tag,
                        arrival.workMs(),
                        loadClass.threads(),
                        loadClass.ioFraction(),
                        loadClass.memoryMb(),
                        arrival.group(),
                        loadClass.write() ? 1 : 0,
                        loadClass.write() ? 0 : 1,
                        arrival.key() == null ? "" : " key=" + arrival.key());
        return loadClass.write()
                ? "INSERT " + sim + " INTO readings VALUES"
                : "SELECT " + sim + " value FROM readings";
    }
}
