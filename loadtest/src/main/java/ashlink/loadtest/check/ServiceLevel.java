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
import java.util.function.Predicate;

/**
 * The service level of a scenario: the priority weight earned by served requests divided by the
 * weight of all requests. A request served after its latency objective earns only the late fraction
 * of its class. The retries of a client count as one request.
 *
 * @param total service level of the whole scenario
 * @param worstTenSeconds lowest service level of any window of 10 seconds
 * @param byClass service level by query class
 * @param byProtocol service level by protocol
 * @param requests number of requests
 * @param served requests that were served
 * @param rejected requests whose last attempt was rejected
 * @param failed requests that neither were served nor rejected
 */
public record ServiceLevel(
        double total,
        double worstTenSeconds,
        Map<String, Double> byClass,
        Map<String, Double> byProtocol,
        long requests,
        long served,
        long rejected,
        long failed) {

    private static final long WINDOW_NS = 10_000_000_000L;
    private static final long STEP_NS = 1_000_000_000L;

    private record RequestScore(
            String queryClass, String protocol, long startNs, double weight, double earnedWeight) {}

    /** Computes the service level of a scenario. */
    public static ServiceLevel of(ScenarioFacts facts) {
        List<RequestScore> scores = new ArrayList<>();
        long served = 0;
        long rejected = 0;
        long failed = 0;
        for (List<ClientAttempt> clientAttempts : attemptsByRequest(facts).values()) {
            clientAttempts.sort(Comparator.comparingInt(ClientAttempt::index));
            ClientAttempt last = clientAttempts.get(clientAttempts.size() - 1);
            boolean isServed = last.reply().kind() == Reply.Kind.SERVED;
            served += isServed ? 1 : 0;
            rejected += !isServed && last.isRejected() ? 1 : 0;
            failed += !isServed && !last.isRejected() ? 1 : 0;
            scores.add(score(facts, last, isServed));
        }
        return new ServiceLevel(
                serviceLevel(scores),
                lowestOfWindows(facts, scores),
                byClass(facts, scores),
                byProtocol(scores),
                scores.size(),
                served,
                rejected,
                failed);
    }

    private static Map<Long, List<ClientAttempt>> attemptsByRequest(ScenarioFacts facts) {
        Map<Long, List<ClientAttempt>> attemptsByRequest = new HashMap<>();
        facts.clientAttempts()
                .forEach(
                        clientAttempt ->
                                attemptsByRequest
                                        .computeIfAbsent(
                                                clientAttempt.request(),
                                                request -> new ArrayList<>())
                                        .add(clientAttempt));
        return attemptsByRequest;
    }

    private static RequestScore score(ScenarioFacts facts, ClientAttempt last, boolean isServed) {
        QueryClass queryClass = facts.settings().queryClasses().get(last.queryClass());
        double objectiveNs =
                queryClass.latencyObjectiveNs()
                        + queryClass.objectivePerWork() * last.workMs() / last.threads() * 1e6;
        boolean isInTime = last.reply().endNs() - last.requestStartNs() <= objectiveNs;
        return new RequestScore(
                queryClass.name(),
                last.protocol(),
                last.requestStartNs(),
                queryClass.priorityWeight(),
                isServed
                        ? queryClass.priorityWeight()
                                * (isInTime ? 1 : queryClass.lateWeightFraction())
                        : 0);
    }

    private static Map<String, Double> byClass(ScenarioFacts facts, List<RequestScore> scores) {
        Map<String, Double> byClass = new LinkedHashMap<>();
        for (String name : facts.settings().queryClasses().keySet()) {
            byClass.put(name, serviceLevel(scores, score -> score.queryClass().equals(name)));
        }
        return byClass;
    }

    private static Map<String, Double> byProtocol(List<RequestScore> scores) {
        Map<String, Double> byProtocol = new TreeMap<>();
        scores.stream()
                .map(RequestScore::protocol)
                .distinct()
                .forEach(
                        name ->
                                byProtocol.put(
                                        name,
                                        serviceLevel(
                                                scores, score -> score.protocol().equals(name))));
        return byProtocol;
    }

    private static double lowestOfWindows(ScenarioFacts facts, List<RequestScore> scores) {
        double lowest = 1;
        for (long windowStartNs = facts.startNs();
                windowStartNs + WINDOW_NS <= facts.startNs() + facts.scenario().durationNs();
                windowStartNs += STEP_NS) {
            long fromNs = windowStartNs;
            double level =
                    serviceLevel(
                            scores,
                            score ->
                                    score.startNs() >= fromNs
                                            && score.startNs() < fromNs + WINDOW_NS);
            lowest = Math.min(lowest, level);
        }
        return lowest;
    }

    private static double serviceLevel(
            List<RequestScore> scores, Predicate<RequestScore> selected) {
        return serviceLevel(scores.stream().filter(selected).toList());
    }

    private static double serviceLevel(List<RequestScore> scores) {
        double weight = scores.stream().mapToDouble(RequestScore::weight).sum();
        return weight == 0
                ? 1
                : scores.stream().mapToDouble(RequestScore::earnedWeight).sum() / weight;
    }
}
