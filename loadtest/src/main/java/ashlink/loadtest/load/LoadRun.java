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
 * An open load: queries arrive by chance at the given rate whatever becomes of earlier ones, and
 * their clients retry as the script says. All that is drawn is drawn ahead from the seed.
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

    /** A load on the routers of a day, under conditions that change meanwhile. */
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
                        r -> {
                            Thread t = new Thread(null, r, "rig-client", 256 << 10);
                            t.setDaemon(true);
                            return t;
                        });
    }

    /** Runs until the day is over and every client has its end; returns what they noted. */
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
            Arrival a = draw(request++, (long) at, random, gauss);
            long wait = from + a.atNs() - System.nanoTime();
            if (wait > 0) {
                TimeUnit.NANOSECONDS.sleep(wait);
            }
            clients.execute(() -> client(a));
        }
        clients.shutdown();
        long longest =
                day.load().stream()
                        .mapToLong(c -> (c.timeoutNs() + c.waitNs()) * (c.retries() + 1))
                        .max()
                        .orElse(0);
        clients.awaitTermination(longest + 5_000 * MS, TimeUnit.NANOSECONDS);
        idle.values().forEach(q -> q.forEach(NativeClient::close));
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
        for (LoadClass c : day.load()) {
            which -= c.share();
            if (which < 0) {
                cls = c;
                break;
            }
        }
        double work =
                conditions.work(cls.name())
                        * cls.workNs()
                        / (double) MS
                        * Math.exp(cls.spread() * gauss.sample() - cls.spread() * cls.spread() / 2);
        int key = cls.keys() > 0 ? random.nextInt(cls.keys()) : -1;
        // Those of one key come to one gateway; the others are spread by a plain front layer.
        int router = key >= 0 ? key % routers.size() : random.nextInt(routers.size());
        int hot = routers.indexOf(conditions.hotRouter());
        boolean toHotRouter = random.nextDouble() < conditions.hotRouterShare();
        boolean toHotGroup = random.nextDouble() < conditions.hotGroupShare();
        int group = random.nextInt(cls.groups());
        router = key < 0 && hot >= 0 && toHotRouter ? hot : router;
        double patience = SHORTEST_PATIENCE + (1 - SHORTEST_PATIENCE) * random.nextDouble();
        boolean overHttp = day.httpShare() > 0 && random.nextDouble() < day.httpShare();
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

    private void client(Arrival a) {
        long firstNs = System.nanoTime();
        for (int n = 0; n <= a.cls().retries(); n++) {
            String router = routers.get((a.router() + (a.key() == null ? n : 0)) % routers.size());
            ClientAttempt t = attempt(a, n, router, firstNs);
            synchronized (tries) {
                tries.add(t);
            }
            boolean harmless = t.isRefused() || !t.sent();
            if (t.reply().kind() == Reply.Kind.SERVED || a.cls().write() && !harmless) {
                return;
            }
            try {
                TimeUnit.NANOSECONDS.sleep(a.cls().waitNs());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private ClientAttempt attempt(Arrival a, int n, String router, long firstNs) {
        String tag = a.request() + "." + n;
        long patience = (long) (a.cls().timeoutNs() * a.patience());
        return a.http()
                ? overHttp(a, n, tag, router, firstNs, patience)
                : overNative(a, n, tag, router, firstNs, patience);
    }

    private static Map<String, String> settings(Arrival a, long patience) {
        Map<String, String> settings = new LinkedHashMap<>();
        settings.put("max_execution_time", String.format(Locale.ROOT, "%.3f", patience / 1e9));
        settings.put("ashlink_work_ms", String.format(Locale.ROOT, "%.1f", a.workMs()));
        settings.put("ashlink_memory_mb", String.format(Locale.ROOT, "%.0f", a.cls().memoryMb()));
        settings.put("ashlink_tables", Long.toString(a.group()));
        if (a.key() != null) {
            settings.put("ashlink_key", a.key());
        }
        return settings;
    }

    private ClientAttempt overHttp(
            Arrival a, int n, String tag, String router, long firstNs, long patience) {
        long from = System.nanoTime();
        HttpLoad.Seen seen =
                http.run(
                        router,
                        a.cls(),
                        statement(a, tag),
                        settings(a, patience),
                        "request-" + a.request(),
                        patience);
        return new ClientAttempt(
                a.request(),
                tag,
                n,
                a.cls().name(),
                a.key(),
                router,
                a.workMs(),
                a.cls().threads(),
                firstNs,
                from,
                from + patience,
                seen.sent(),
                seen.reply(),
                false,
                "http");
    }

    private ClientAttempt overNative(
            Arrival a, int n, String tag, String router, long firstNs, long patience) {
        LoadClass c = a.cls();
        NativeClient client = null;
        long from = System.nanoTime();
        Reply reply;
        boolean sent = false;
        boolean stray = false;
        try {
            client = take(router, c.user());
            from = System.nanoTime();
            client.sendQuery(tag, statement(a, tag), settings(a, patience));
            sent = true;
            reply = client.await(c.write() ? List.of(ROWS) : List.of(), from + patience);
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
            idle.computeIfAbsent(router + "/" + c.user(), k -> new ArrayDeque<>());
            synchronized (idle) {
                idle.get(router + "/" + c.user()).push(client);
            }
        } else if (client != null) {
            client.close();
        }
        return new ClientAttempt(
                a.request(),
                tag,
                n,
                c.name(),
                a.key(),
                router,
                a.workMs(),
                c.threads(),
                firstNs,
                from,
                from + patience,
                sent,
                reply,
                stray,
                "native");
    }

    /** An idle connection that is still good, else a new one. */
    private NativeClient take(String router, String user) throws IOException {
        while (true) {
            NativeClient c;
            synchronized (idle) {
                ArrayDeque<NativeClient> q = idle.get(router + "/" + user);
                c = q == null ? null : q.poll();
            }
            if (c == null) {
                NativeClient fresh = new NativeClient(null, ashlink.wire.Revision.HIGHEST);
                fresh.open(addresses.apply(router), user, "", "default", CONNECT_MS);
                return fresh;
            }
            if (!c.isClosedByPeer()) {
                return c;
            }
            c.close();
        }
    }

    private static String statement(Arrival a, String tag) {
        LoadClass c = a.cls();
        String sim =
                String.format(
                        Locale.ROOT,
                        "/* sim tag=%s work_ms=%.1f threads=%d io=%.2f memory_mb=%.0f tables=%d"
                                + " holds=%d waits=%d%s */",
                        tag,
                        a.workMs(),
                        c.threads(),
                        c.io(),
                        c.memoryMb(),
                        a.group(),
                        c.write() ? 1 : 0,
                        c.write() ? 0 : 1,
                        a.key() == null ? "" : " key=" + a.key());
        return c.write()
                ? "INSERT " + sim + " INTO readings VALUES"
                : "SELECT " + sim + " value FROM readings";
    }
}
