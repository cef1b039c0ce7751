package ashlink.loadtest.check;

import ashlink.decisions.api.QueryClass;
import ashlink.loadtest.client.Reply;
import ashlink.loadtest.load.ClientAttempt;
import ashlink.loadtest.scenario.ScenarioFacts;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The service level of a scenario: the priority weight earned by served requests divided by the
 * weight of all requests. A request served after its latency objective earns only the late fraction
 * of its class. The retries of a client count as one request.
 *
 * @param whole service level of the whole scenario
 * @param worstTenSeconds lowest service level of any window of 10 seconds
 * @param byClass service level by query class
 * @param byFront service level by protocol
 * @param asked number of requests
 * @param served requests that were served
 * @param refused requests whose last attempt was rejected
 * @param failed requests that neither were served nor rejected
 */
public record Service(
        double whole,
        double worstTenSeconds,
        Map<String, Double> byClass,
        Map<String, Double> byFront,
        long asked,
        long served,
        long refused,
        long failed) {

    private static final long WINDOW_NS = 10_000_000_000L;
    private static final long STEP_NS = 1_000_000_000L;

    private record Earned(
            String queryClass, String front, long atNs, double asked, double earned) {}

    /** Computes the service level of a scenario. */
    public static Service of(ScenarioFacts facts) {
        Map<Long, List<ClientAttempt>> requests = new HashMap<>();
        facts.tries()
                .forEach(
                        clientAttempt ->
                                requests.computeIfAbsent(
                                                clientAttempt.request(), k -> new ArrayList<>())
                                        .add(clientAttempt));
        List<Earned> all = new ArrayList<>();
        long served = 0;
        long refused = 0;
        long failed = 0;
        for (List<ClientAttempt> tries : requests.values()) {
            tries.sort(Comparator.comparingInt(ClientAttempt::number));
            ClientAttempt last = tries.get(tries.size() - 1);
            QueryClass queryClass = facts.settings().queryClasses().get(last.queryClass());
            boolean good = last.reply().kind() == Reply.Kind.SERVED;
            served += good ? 1 : 0;
            refused += !good && last.isRefused() ? 1 : 0;
            failed += !good && !last.isRefused() ? 1 : 0;
            double aim =
                    queryClass.latencyObjectiveNs()
                            + queryClass.objectivePerWork() * last.workMs() / last.threads() * 1e6;
            boolean inTime = last.reply().endNs() - last.firstNs() <= aim;
            all.add(
                    new Earned(
                            queryClass.name(),
                            last.front(),
                            last.firstNs(),
                            queryClass.priorityWeight(),
                            good
                                    ? queryClass.priorityWeight()
                                            * (inTime ? 1 : queryClass.lateWeightFraction())
                                    : 0));
        }
        Map<String, Double> byClass = new LinkedHashMap<>();
        facts.settings()
                .queryClasses()
                .keySet()
                .forEach(
                        c ->
                                byClass.put(
                                        c,
                                        share(
                                                all.stream()
                                                        .filter(
                                                                earned ->
                                                                        earned.queryClass()
                                                                                .equals(c))
                                                        .toList())));
        Map<String, Double> byFront = new TreeMap<>();
        all.stream()
                .map(Earned::front)
                .distinct()
                .forEach(
                        f ->
                                byFront.put(
                                        f,
                                        share(
                                                all.stream()
                                                        .filter(earned -> earned.front().equals(f))
                                                        .toList())));
        double worst = 1;
        for (long at = facts.fromNs();
                at + WINDOW_NS <= facts.fromNs() + facts.day().durationNs();
                at += STEP_NS) {
            long from = at;
            worst =
                    Math.min(
                            worst,
                            share(
                                    all.stream()
                                            .filter(
                                                    earned ->
                                                            earned.atNs() >= from
                                                                    && earned.atNs()
                                                                            < from + WINDOW_NS)
                                            .toList()));
        }
        return new Service(
                share(all), worst, byClass, byFront, all.size(), served, refused, failed);
    }

    private static double share(List<Earned> of) {
        double asked = of.stream().mapToDouble(Earned::asked).sum();
        return asked == 0 ? 1 : of.stream().mapToDouble(Earned::earned).sum() / asked;
    }
}
