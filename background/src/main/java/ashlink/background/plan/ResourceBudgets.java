package ashlink.background.plan;

import ashlink.background.plan.Decision.Grant;
import ashlink.background.plan.Decision.Resource;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Grants processor time and disk traffic to runs, with one token bucket per resource. */
final class ResourceBudgets {

    private static final double NANOS_PER_SECOND = 1e9;

    private final Map<Resource, TokenBucket> buckets = new EnumMap<>(Resource.class);
    private final double minRateFraction;

    ResourceBudgets(Limits limits) {
        minRateFraction = limits.minRateFraction();
        buckets.put(
                Resource.CPU,
                new TokenBucket(limits.cpuBurstNs(), limits.cpuCores() * NANOS_PER_SECOND));
        buckets.put(Resource.BYTES, new TokenBucket(limits.burstBytes(), limits.bytesPerSecond()));
    }

    /** Sets all rates according to the load pressure on the service, from 0 to 1. */
    void setPressure(double pressure, long nowNs) {
        double rateFraction = Math.max(minRateFraction, 1 - pressure);
        buckets.values().forEach(bucket -> bucket.setRateFraction(rateFraction, nowNs));
    }

    /** Records a request; reduces an amount above the capacity to the capacity. */
    void request(TaskRun run, Resource resource, double amount) {
        run.requests.put(resource, Math.min(amount, buckets.get(resource).capacity()));
    }

    void charge(Resource resource, double amount, long nowNs) {
        buckets.get(resource).charge(amount, nowNs);
    }

    /**
     * Grants requests in order of task deadlines. No request overtakes a waiting one with an
     * earlier deadline, so that small requests cannot starve a large one.
     */
    void grant(Collection<TaskRun> runs, long nowNs, List<Decision> decisions) {
        for (Resource resource : Resource.values()) {
            for (TaskRun run : requestingRuns(runs, resource)) {
                double amount = run.requests.get(resource);
                if (!buckets.get(resource).tryAcquire(amount, nowNs)) {
                    break;
                }
                run.requests.remove(resource);
                decisions.add(new Grant(run.id, resource, amount));
            }
        }
    }

    /**
     * Returns the earliest time at which a request may be granted, or {@code Long.MAX_VALUE} if no
     * request waits.
     */
    long nextGrantNs(Collection<TaskRun> runs, long nowNs) {
        long nextNs = Long.MAX_VALUE;
        for (Resource resource : Resource.values()) {
            List<TaskRun> waitingRuns = requestingRuns(runs, resource);
            if (!waitingRuns.isEmpty()) {
                double amount = waitingRuns.get(0).requests.get(resource);
                nextNs = Math.min(nextNs, nowNs + buckets.get(resource).waitNs(amount, nowNs));
            }
        }
        return nextNs;
    }

    private static List<TaskRun> requestingRuns(Collection<TaskRun> runs, Resource resource) {
        return runs.stream()
                .filter(run -> run.requests.containsKey(resource))
                .sorted(Comparator.comparing((TaskRun run) -> run.task, BackgroundTask.BY_DEADLINE))
                .toList();
    }
}
