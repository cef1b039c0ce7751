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
    private static final double RAMP_STEP_MS = 20;

    /** Weights of priorities 0 to 3 when the jobs have more threads than the engine has cores. */
    private static final double[] WEIGHTS = {1, 4, 8, 16};

    /** Grant as a multiple of the needed memory if the client does not request an amount. */
    private static final double OWN_CHOICE = 1.25;

    /** Largest grant as a fraction of the engine's memory. */
    private static final double MOST_GRANT = 0.4;

    private final EngineConfig config;
    private final List<Job> jobs = new ArrayList<>();
    private final List<double[]> arrivals = new ArrayList<>();
    private double now;
    private double startedMs;
    private double speed = 1;
    private boolean paused;
    private boolean fallen;
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
        this.now = nowMs;
    }

    // ---- Faults
    /** Sets the speed as a multiple of the configured speed, from the current time on. */
    public void speed(double multiple) {
        speed = multiple;
    }

    /** Pauses or resumes all jobs. */
    public void paused(boolean p) {
        paused = p;
    }

    /**
     * Returns true if the engine collapsed because it received too much work while it was cold. A
     * collapsed engine executes nothing until it is restarted.
     */
    public boolean hasFallen() {
        return fallen;
    }

    // ---- Work
    /** Adds a job at the current time. */
    public Job submit(Job.Demand demand) {
        Job job = new Job(demand, sequence++);
        noteArrival(demand.workMs());
        jobs.add(job);
        job.state(Job.State.WAITS_FOR_MEMORY);
        admit();
        return job;
    }

    /** Removes a job that is not to be completed. */
    public void drop(Job job) {
        if (jobs.remove(job)) {
            job.state(Job.State.DROPPED);
            admit();
        }
    }

    /** Advances the current time and returns the jobs that are completed by then. */
    public List<Job> advance(double toMs) {
        List<Job> done = new ArrayList<>();
        while (now < toMs && !paused && !fallen) {
            double step = Math.min(toMs - now, nextChangeMs());
            double[] rates = rates();
            for (int i = 0; i < jobs.size(); i++) {
                jobs.get(i).work(rates[i] * step);
            }
            now += step;
            boolean any = false;
            for (Job job : List.copyOf(jobs)) {
                if (job.state() == Job.State.RUNS && job.leftMs() <= 1e-6) {
                    jobs.remove(job);
                    job.state(Job.State.DONE);
                    done.add(job);
                    any = true;
                }
            }
            if (any) {
                admit();
            }
        }
        now = Math.max(now, toMs);
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
                next = Math.min(next, Math.max(1e-6, jobs.get(i).leftMs() / rates[i]));
            }
        }
        return warmth() < 1 ? Math.min(next, RAMP_STEP_MS) : next;
    }

    // ---- Gauges
    /** Returns the number of jobs that are running or waiting. */
    public int inHand() {
        return jobs.size();
    }

    /** Returns the number of jobs that wait for memory. */
    public int waiting() {
        return (int) jobs.stream().filter(job -> job.state() == Job.State.WAITS_FOR_MEMORY).count();
    }

    /** Returns the granted fraction of the engine's memory. */
    public double memoryGranted() {
        return jobs.stream().mapToDouble(Job::grantedMb).sum() / config.memoryMb();
    }

    /** Returns the fraction of the engine's cores that are busy. */
    public double coresBusy() {
        return Math.min(1, threads() / config.cores());
    }

    /** Returns the fraction of the engine's disk bandwidth that is in use. */
    public double disksBusy() {
        return Math.min(1, reading() / (config.diskThreadFraction() * config.cores()));
    }

    /** Returns the time since the start, in milliseconds. */
    public double upMs() {
        return now - startedMs;
    }

    /** Returns the work per millisecond that the engine can do at its current warm-up state. */
    public double capacity() {
        return config.cores() * config.speed() * warmth();
    }

    private double warmth() {
        double coldMs = config.slowStartNs() / 1e6;
        double up = now - startedMs;
        return coldMs <= 0 || up >= coldMs
                ? 1
                : config.slowStartFraction() + (1 - config.slowStartFraction()) * up / coldMs;
    }

    private double threads() {
        return jobs.stream()
                .filter(job -> job.state() == Job.State.RUNS)
                .mapToDouble(job -> job.demand().threads())
                .sum();
    }

    private double reading() {
        return jobs.stream()
                .filter(job -> job.state() == Job.State.RUNS)
                .mapToDouble(job -> job.demand().threads() * job.demand().ioShare())
                .sum();
    }

    // ---- Rates
    /** Returns the current rate of each job, in milliseconds of work per millisecond. */
    private double[] rates() {
        double[] rates = new double[jobs.size()];
        double threads = threads();
        if (threads == 0 || paused || fallen) {
            return rates;
        }
        double aCore = threads / config.cores();
        double over = Math.max(0, aCore / config.kneeThreadsPerCore() - 1);
        double efficiency = 1 / (1 + over * config.thrash() / (1 - config.thrash()));
        double each = config.speed() * speed * warmth() * efficiency;
        double cores = config.cores();
        double disks = Math.max(1e-9, config.diskThreadFraction() * config.cores());
        double weights = 0;
        for (Job job : jobs) {
            weights += job.state() == Job.State.RUNS ? weight(job) : 0;
        }
        double diskShort = Math.max(1, reading() / disks);
        for (int i = 0; i < rates.length; i++) {
            Job job = jobs.get(i);
            if (job.state() == Job.State.RUNS) {
                double share =
                        Math.min(
                                job.demand().threads(),
                                threads <= cores
                                        ? job.demand().threads()
                                        : cores * weight(job) / weights);
                double io = job.demand().ioShare();
                rates[i] = each * share / (1 - io + io * diskShort);
            }
        }
        return rates;
    }

    private static double weight(Job job) {
        return job.demand().threads() * WEIGHTS[Math.max(0, Math.min(3, job.demand().priority()))];
    }

    // ---- Memory and tables
    /**
     * Starts the jobs that can run now. Memory is granted by priority and then in the order of
     * arrival, table locks in the order of arrival.
     */
    private void admit() {
        List<Job> line = new ArrayList<>(jobs);
        line.sort(
                Comparator.comparingInt((Job job) -> -job.demand().priority())
                        .thenComparingLong(Job::sequence));
        boolean shortOfMemory = false;
        for (Job job : line) {
            if (job.state() == Job.State.WAITS_FOR_MEMORY && !shortOfMemory) {
                shortOfMemory = !grant(job);
            }
        }
        jobs.stream()
                .filter(job -> job.state() == Job.State.WAITS_FOR_TABLES && !isBarred(job))
                .forEach(job -> job.state(Job.State.RUNS));
    }

    private boolean grant(Job job) {
        double wanted =
                Math.min(
                        MOST_GRANT * config.memoryMb(),
                        job.demand().grantMb() > 0
                                ? job.demand().grantMb()
                                : OWN_CHOICE * job.demand().memoryMb());
        double free = config.memoryMb() * (1 - memoryGranted());
        if (wanted > free && config.memoryQueue() && memoryGranted() > 0) {
            return false;
        }
        job.grant(Math.min(wanted, Math.max(0, free)), config.spill());
        job.state(isBarred(job) ? Job.State.WAITS_FOR_TABLES : Job.State.RUNS);
        return true;
    }

    /** Returns true while another job that started or arrived earlier locks the job's tables. */
    private boolean isBarred(Job j) {
        if (!j.demand().waits() && !j.demand().holds()) {
            return false;
        }
        return jobs.stream()
                .anyMatch(
                        o ->
                                o != j
                                        && o.demand().holds()
                                        && o.demand().tables() == j.demand().tables()
                                        && (o.state() == Job.State.RUNS
                                                || o.state() == Job.State.WAITS_FOR_TABLES
                                                        && o.sequence() < j.sequence()));
    }

    /**
     * Records an arrival. A cold engine collapses if the work that arrived within the window exceeds
     * a configured multiple of its capacity.
     */
    private void noteArrival(double workMs) {
        if (config.crashLoadMultiple() <= 0 || warmth() >= 1) {
            arrivals.clear();
            return;
        }
        double window = config.crashWindowNs() / 1e6;
        arrivals.add(new double[] {now, workMs});
        arrivals.removeIf(a -> a[0] < now - window);
        double sent = arrivals.stream().mapToDouble(a -> a[1]).sum();
        fallen |= sent > config.crashLoadMultiple() * capacity() * window;
    }
}
