package ashlink.emulator.model;

import ashlink.config.EngineConfig;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Model of an engine that executes all its statements concurrently. Jobs share the cores by thread
 * count and priority, and the disks by the fraction of their work that is I/O. Above a limit of
 * threads per core, the total throughput decreases. Times are in milliseconds on the caller's
 * clock; {@link #advance} sets the current time. Not thread-safe: the caller synchronizes access.
 */
public final class EngineModel {

    /** Longest step with constant rates while the engine warms up and its speed increases. */
    private static final double WARM_UP_STEP_MS = 20;

    /** Weights of priorities 0 to 3 when the jobs have more threads than the engine has cores. */
    private static final double[] PRIORITY_WEIGHTS = {1, 4, 8, 16};

    /** Grant as a multiple of the needed memory if the client does not request an amount. */
    private static final double DEFAULT_GRANT_FACTOR = 1.25;

    /** Largest grant as a fraction of the engine's memory. */
    private static final double MAX_GRANT_FRACTION = 0.4;

    private final EngineConfig config;
    private final List<Job> jobs = new ArrayList<>();
    private final List<double[]> arrivals = new ArrayList<>();
    private double nowMs;
    private double startedMs;
    private double speed = 1;
    private boolean paused;
    private boolean collapsed;
    private long sequence;

    /**
     * Creates a model.
     *
     * @param config settings of the engine
     * @param startedMs start time; a time long before {@code nowMs} models a warm engine
     * @param nowMs current time
     */
    public EngineModel(EngineConfig config, double startedMs, double nowMs) {
        this.config = config;
        this.startedMs = startedMs;
        this.nowMs = nowMs;
    }

    // ---- Faults
    /** Sets the speed as a multiple of the configured speed, from the current time on. */
    public void setSpeed(double multiple) {
        speed = multiple;
    }

    /** Pauses or resumes all jobs. */
    public void setPaused(boolean value) {
        paused = value;
    }

    /**
     * Returns true if the engine collapsed because it received too much work while it was cold. A
     * collapsed engine executes nothing until it is restarted.
     */
    public boolean hasCollapsed() {
        return collapsed;
    }

    // ---- Work
    /** Adds a job at the current time. */
    public Job submit(Job.Demand demand) {
        Job job = new Job(demand, sequence++);
        recordArrival(demand.workMs());
        jobs.add(job);
        job.setState(Job.State.WAITS_FOR_MEMORY);
        startRunnableJobs();
        return job;
    }

    /** Removes a job that is not to be completed. */
    public void cancel(Job job) {
        if (jobs.remove(job)) {
            job.setState(Job.State.CANCELLED);
            startRunnableJobs();
        }
    }

    /** Advances the current time and returns the jobs that are completed by then. */
    public List<Job> advance(double untilMs) {
        List<Job> done = new ArrayList<>();
        while (nowMs < untilMs && !paused && !collapsed) {
            double step = Math.min(untilMs - nowMs, nextChangeMs());
            double[] rates = rates();
            for (int i = 0; i < jobs.size(); i++) {
                jobs.get(i).execute(rates[i] * step);
            }
            nowMs += step;
            boolean anyDone = false;
            for (Job job : List.copyOf(jobs)) {
                if (job.state() == Job.State.RUNS && job.remainingMs() <= 1e-6) {
                    jobs.remove(job);
                    job.setState(Job.State.DONE);
                    done.add(job);
                    anyDone = true;
                }
            }
            if (anyDone) {
                startRunnableJobs();
            }
        }
        nowMs = Math.max(nowMs, untilMs);
        return done;
    }

    /**
     * Returns the time from now until a job ends or the rates change, in milliseconds; infinite if
     * no job runs.
     */
    public double nextChangeMs() {
        double[] rates = rates();
        double next = Double.POSITIVE_INFINITY;
        for (int i = 0; i < jobs.size(); i++) {
            if (rates[i] > 0) {
                next = Math.min(next, Math.max(1e-6, jobs.get(i).remainingMs() / rates[i]));
            }
        }
        return warmUpFraction() < 1 ? Math.min(next, WARM_UP_STEP_MS) : next;
    }

    // ---- Gauges
    /** Returns the number of jobs that are running or waiting. */
    public int activeJobs() {
        return jobs.size();
    }

    /** Returns the number of jobs that wait for memory. */
    public int jobsWaitingForMemory() {
        return (int) jobs.stream().filter(job -> job.state() == Job.State.WAITS_FOR_MEMORY).count();
    }

    /** Returns the granted fraction of the engine's memory. */
    public double grantedMemoryFraction() {
        return jobs.stream().mapToDouble(Job::grantedMb).sum() / config.memoryMb();
    }

    /** Returns the fraction of the engine's cores that are busy. */
    public double busyCoreFraction() {
        return Math.min(1, runningThreads() / config.cores());
    }

    /** Returns the fraction of the engine's disk bandwidth that is in use. */
    public double busyDiskFraction() {
        return Math.min(1, ioThreads() / (config.diskThreadFraction() * config.cores()));
    }

    /** Returns the time since the start, in milliseconds. */
    public double uptimeMs() {
        return nowMs - startedMs;
    }

    /** Returns the work per millisecond that the engine can do at its current warm-up state. */
    public double capacity() {
        return config.cores() * config.speed() * warmUpFraction();
    }

    private double warmUpFraction() {
        double warmUpMs = config.slowStartNs() / 1e6;
        double uptimeMs = nowMs - startedMs;
        return warmUpMs <= 0 || uptimeMs >= warmUpMs
                ? 1
                : config.slowStartFraction()
                        + (1 - config.slowStartFraction()) * uptimeMs / warmUpMs;
    }

    private double runningThreads() {
        return jobs.stream()
                .filter(job -> job.state() == Job.State.RUNS)
                .mapToDouble(job -> job.demand().threads())
                .sum();
    }

    private double ioThreads() {
        return jobs.stream()
                .filter(job -> job.state() == Job.State.RUNS)
                .mapToDouble(job -> job.demand().threads() * job.demand().ioShare())
                .sum();
    }

    // ---- Rates
    /** Returns the current rate of each job, in milliseconds of work per millisecond. */
    private double[] rates() {
        double[] rates = new double[jobs.size()];
        double threads = runningThreads();
        if (threads == 0 || paused || collapsed) {
            return rates;
        }
        double threadsPerCore = threads / config.cores();
        double excess = Math.max(0, threadsPerCore / config.kneeThreadsPerCore() - 1);
        double efficiency = 1 / (1 + excess * config.thrash() / (1 - config.thrash()));
        double speedPerThread = config.speed() * speed * warmUpFraction() * efficiency;
        double cores = config.cores();
        double ioThreadLimit = Math.max(1e-9, config.diskThreadFraction() * config.cores());
        double totalWeight = 0;
        for (Job job : jobs) {
            totalWeight += job.state() == Job.State.RUNS ? weight(job) : 0;
        }
        double ioSlowdown = Math.max(1, ioThreads() / ioThreadLimit);
        for (int i = 0; i < rates.length; i++) {
            Job job = jobs.get(i);
            if (job.state() == Job.State.RUNS) {
                double share =
                        Math.min(
                                job.demand().threads(),
                                threads <= cores
                                        ? job.demand().threads()
                                        : cores * weight(job) / totalWeight);
                double ioShare = job.demand().ioShare();
                rates[i] = speedPerThread * share / (1 - ioShare + ioShare * ioSlowdown);
            }
        }
        return rates;
    }

    private static double weight(Job job) {
        return job.demand().threads()
                * PRIORITY_WEIGHTS[Math.max(0, Math.min(3, job.demand().priority()))];
    }

    // ---- Memory and tables
    /**
     * Starts the jobs that can run now. Memory is granted by priority and then in the order of
     * arrival, table locks in the order of arrival.
     */
    private void startRunnableJobs() {
        List<Job> queue = new ArrayList<>(jobs);
        queue.sort(
                Comparator.comparingInt((Job job) -> -job.demand().priority())
                        .thenComparingLong(Job::sequence));
        boolean memoryExhausted = false;
        for (Job job : queue) {
            if (job.state() == Job.State.WAITS_FOR_MEMORY && !memoryExhausted) {
                memoryExhausted = !tryGrant(job);
            }
        }
        jobs.stream()
                .filter(job -> job.state() == Job.State.WAITS_FOR_TABLES && !waitsForTableLock(job))
                .forEach(job -> job.setState(Job.State.RUNS));
    }

    private boolean tryGrant(Job job) {
        double grantMb =
                Math.min(
                        MAX_GRANT_FRACTION * config.memoryMb(),
                        job.demand().grantMb() > 0
                                ? job.demand().grantMb()
                                : DEFAULT_GRANT_FACTOR * job.demand().memoryMb());
        double freeMb = config.memoryMb() * (1 - grantedMemoryFraction());
        if (grantMb > freeMb && config.memoryQueue() && grantedMemoryFraction() > 0) {
            return false;
        }
        job.setGrant(Math.min(grantMb, Math.max(0, freeMb)), config.spill());
        job.setState(waitsForTableLock(job) ? Job.State.WAITS_FOR_TABLES : Job.State.RUNS);
        return true;
    }

    /** Returns true while another job that started or arrived earlier locks the job's tables. */
    private boolean waitsForTableLock(Job job) {
        if (!job.demand().waitsForTableLocks() && !job.demand().locksTables()) {
            return false;
        }
        return jobs.stream()
                .anyMatch(
                        other ->
                                other != job
                                        && other.demand().locksTables()
                                        && other.demand().tableGroup() == job.demand().tableGroup()
                                        && (other.state() == Job.State.RUNS
                                                || other.state() == Job.State.WAITS_FOR_TABLES
                                                        && other.sequence() < job.sequence()));
    }

    /**
     * Records an arrival. A cold engine collapses if the work that arrived within the window
     * exceeds a configured multiple of its capacity.
     */
    private void recordArrival(double workMs) {
        if (config.crashLoadMultiple() <= 0 || warmUpFraction() >= 1) {
            arrivals.clear();
            return;
        }
        double windowMs = config.crashWindowNs() / 1e6;
        arrivals.add(new double[] {nowMs, workMs});
        arrivals.removeIf(arrival -> arrival[0] < nowMs - windowMs);
        double arrivedMs = arrivals.stream().mapToDouble(arrival -> arrival[1]).sum();
        collapsed |= arrivedMs > config.crashLoadMultiple() * capacity() * windowMs;
    }
}
