package ashlink.loadtest.load;

import ashlink.config.ScenarioConfig;
import ashlink.config.ScenarioConfig.LoadClass;
import ashlink.loadtest.client.Reply;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
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

    private static final long NS_PER_MS = 1_000_000L;

    /** A client gives up after a random fraction of its timeout, from this value to 1. */
    private static final double MIN_TIMEOUT_FRACTION = 0.8;

    private final ScenarioConfig scenario;
    private final List<String> routers;
    private final NativeLoad nativeLoad;
    private final HttpLoad httpLoad;
    private final LoadConditions conditions;
    private final List<ClientAttempt> clientAttempts = new ArrayList<>();
    private final ExecutorService clients;

    /** Creates a load on the routers of a scenario; the conditions may change during the run. */
    public LoadRun(
            ScenarioConfig scenario,
            Function<String, InetSocketAddress> addresses,
            Function<String, InetSocketAddress> httpAddresses,
            LoadConditions conditions) {
        this.scenario = scenario;
        this.routers = scenario.routers().stream().map(ScenarioConfig.RouterSpec::name).toList();
        this.nativeLoad = new NativeLoad(addresses);
        this.httpLoad = new HttpLoad(httpAddresses);
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
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        ZigguratSampler.NormalizedGaussian gaussian = ZigguratSampler.NormalizedGaussian.of(random);
        ZigguratSampler.Exponential interarrivalTimes = ZigguratSampler.Exponential.of(random);
        long startNs = System.nanoTime();
        double arrivalNs = 0;
        long requestNumber = 0;
        while (arrivalNs < scenario.durationNs()) {
            double rate = scenario.ratePerS() * conditions.rateFactor();
            arrivalNs += interarrivalTimes.sample() / rate * 1e9;
            Arrival arrival = drawArrival(requestNumber++, (long) arrivalNs, random, gaussian);
            long delayNs = startNs + arrival.arrivalNs() - System.nanoTime();
            if (delayNs > 0) {
                TimeUnit.NANOSECONDS.sleep(delayNs);
            }
            clients.execute(() -> runClient(arrival));
        }
        clients.shutdown();
        long longestRequestNs =
                scenario.load().stream()
                        .mapToLong(
                                loadClass ->
                                        (loadClass.timeoutNs() + loadClass.retryDelayNs())
                                                * (loadClass.retries() + 1))
                        .max()
                        .orElse(0);
        clients.awaitTermination(longestRequestNs + 5_000 * NS_PER_MS, TimeUnit.NANOSECONDS);
        nativeLoad.close();
        synchronized (clientAttempts) {
            return new ArrayList<>(clientAttempts);
        }
    }

    private Arrival drawArrival(
            long requestNumber,
            long arrivalNs,
            UniformRandomProvider random,
            ZigguratSampler.NormalizedGaussian gaussian) {
        double classSelector = random.nextDouble();
        LoadClass loadClass = scenario.load().get(scenario.load().size() - 1);
        for (LoadClass candidate : scenario.load()) {
            classSelector -= candidate.fraction();
            if (classSelector < 0) {
                loadClass = candidate;
                break;
            }
        }
        double workMs =
                conditions.workFactor(loadClass.name())
                        * loadClass.workNs()
                        / (double) NS_PER_MS
                        * Math.exp(
                                loadClass.spread() * gaussian.sample()
                                        - loadClass.spread() * loadClass.spread() / 2);
        int key = loadClass.keys() > 0 ? random.nextInt(loadClass.keys()) : -1;
        // Queries with the same key use the same router; the others are spread at random.
        int router = key >= 0 ? key % routers.size() : random.nextInt(routers.size());
        int hotRouter = routers.indexOf(conditions.hotRouter());
        boolean usesHotRouter = random.nextDouble() < conditions.hotRouterFraction();
        boolean usesHotTableGroup = random.nextDouble() < conditions.hotTableGroupFraction();
        int tableGroup = random.nextInt(loadClass.tableGroups());
        router = key < 0 && hotRouter >= 0 && usesHotRouter ? hotRouter : router;
        double timeoutFraction =
                MIN_TIMEOUT_FRACTION + (1 - MIN_TIMEOUT_FRACTION) * random.nextDouble();
        boolean overHttp =
                scenario.httpFraction() > 0 && random.nextDouble() < scenario.httpFraction();
        return new Arrival(
                requestNumber,
                arrivalNs,
                loadClass,
                workMs,
                timeoutFraction,
                router,
                key < 0 ? null : "k" + key,
                usesHotTableGroup ? 0 : tableGroup,
                overHttp);
    }

    private void runClient(Arrival arrival) {
        long requestStartNs = System.nanoTime();
        for (int attemptIndex = 0; attemptIndex <= arrival.loadClass().retries(); attemptIndex++) {
            String router =
                    routers.get(
                            (arrival.router() + (arrival.key() == null ? attemptIndex : 0))
                                    % routers.size());
            ClientAttempt clientAttempt =
                    sendAttempt(arrival, attemptIndex, router, requestStartNs);
            synchronized (clientAttempts) {
                clientAttempts.add(clientAttempt);
            }
            boolean retrySafe = clientAttempt.isRejected() || !clientAttempt.sent();
            if (clientAttempt.reply().kind() == Reply.Kind.SERVED
                    || arrival.loadClass().write() && !retrySafe) {
                return;
            }
            try {
                TimeUnit.NANOSECONDS.sleep(arrival.loadClass().retryDelayNs());
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private ClientAttempt sendAttempt(
            Arrival arrival, int attemptIndex, String router, long requestStartNs) {
        String tag = arrival.requestNumber() + "." + attemptIndex;
        long timeoutNs = (long) (arrival.loadClass().timeoutNs() * arrival.timeoutFraction());
        return arrival.overHttp()
                ? sendOverHttp(arrival, attemptIndex, tag, router, requestStartNs, timeoutNs)
                : sendOverNative(arrival, attemptIndex, tag, router, requestStartNs, timeoutNs);
    }

    private ClientAttempt sendOverHttp(
            Arrival arrival,
            int attemptIndex,
            String tag,
            String router,
            long requestStartNs,
            long timeoutNs) {
        long startNs = System.nanoTime();
        HttpLoad.Result result =
                httpLoad.run(
                        router,
                        arrival.loadClass(),
                        arrival.statementText(tag),
                        arrival.settings(timeoutNs),
                        "request-" + arrival.requestNumber(),
                        timeoutNs);
        return new ClientAttempt(
                arrival.requestNumber(),
                tag,
                attemptIndex,
                arrival.loadClass().name(),
                arrival.key(),
                router,
                arrival.workMs(),
                arrival.loadClass().threads(),
                requestStartNs,
                startNs,
                startNs + timeoutNs,
                result.sent(),
                result.reply(),
                false,
                "http");
    }

    private ClientAttempt sendOverNative(
            Arrival arrival,
            int attemptIndex,
            String tag,
            String router,
            long requestStartNs,
            long timeoutNs) {
        NativeLoad.Result result = nativeLoad.run(router, arrival, tag, timeoutNs);
        return new ClientAttempt(
                arrival.requestNumber(),
                tag,
                attemptIndex,
                arrival.loadClass().name(),
                arrival.key(),
                router,
                arrival.workMs(),
                arrival.loadClass().threads(),
                requestStartNs,
                result.startNs(),
                result.startNs() + timeoutNs,
                result.sent(),
                result.reply(),
                result.hasDataAfterReply(),
                "native");
    }
}
