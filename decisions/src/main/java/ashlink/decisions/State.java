package ashlink.decisions;

import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.QueryClass;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/**
 * What a gateway remembers: plain records of what it was told, did and learnt. {@link Rules}
 * decides on them.
 */
final class State {

    /** A time long before all others. */
    static final long NEVER = Long.MIN_VALUE / 2;

    private State() {}

    /** What was learnt of a class. */
    static final class ClassFacts {
        final QueryClass spec;

        /** Log of the usual response time x threads over the estimate. */
        double usualLog;

        /** Log of the upper quartile over the usual one. */
        double spreadLog;

        int lessons;
        double meanEstimateMs;
        int estimates;

        /** Mean work that answers told, and the answers in it. */
        double meanToldMs;

        int told;

        /** Learnt need of memory over the estimate, and the lessons in it. */
        double memoryBias = 1;

        int memoryLessons;

        ClassFacts(QueryClass spec) {
            this.spec = spec;
        }
    }

    /** A query that this gateway has taken and that is not forgotten. */
    static final class Query {
        final long id;
        final ClassFacts cls;
        final KeyLine line;
        final long tables;
        final long seq;
        final long takenNs;
        final long deadlineNs;
        final double estimateMs;

        /** Estimate, corrected by what its class taught. */
        final double workMs;

        final double memoryMb;
        final boolean estimated;

        /** What it earns in time, and what it may still earn now. */
        final double fullWorth;

        double worth;
        boolean over;

        /** Engine of the attempt that is out, and what the list said of it when it was sent. */
        Engine out;

        Endpoint sentTo;
        long sentNs;

        /** When it was sent or last seen to wait. */
        long workingFromNs;

        int attempts;
        long grantMb;

        /** Memory that it needs, as its spill told; 0 while untold. */
        double needMb;

        boolean cancelled;
        int restarts;

        /** Candidates whose news it waits for. */
        List<Engine> scouted = List.of();

        long scoutUntilNs;

        /** Where and since when an earlier attempt may have run. */
        Endpoint mayHaveRunOn;

        long mayHaveRunNs;

        Query(
                QuerySubmitted querySubmitted,
                ClassFacts cls,
                KeyLine line,
                long seq,
                double estimateMs,
                double workMs,
                double worth,
                long now) {
            this.id = querySubmitted.id();
            this.cls = cls;
            this.line = line;
            this.tables = querySubmitted.tableGroup();
            this.seq = seq;
            this.takenNs = now;
            this.deadlineNs = querySubmitted.deadlineNs();
            this.estimateMs = estimateMs;
            this.workMs = workMs;
            this.memoryMb = querySubmitted.estimatedMemoryMb();
            this.estimated = querySubmitted.estimatedWorkNs() > 0;
            this.fullWorth = worth;
            this.worth = worth;
        }

        /** Time that it usually takes. */
        long usualNs() {
            return (long) (workMs / cls.spec.threads() * 1_000_000);
        }

        /** Time until which its answer earns full worth. */
        long aimNs() {
            return takenNs
                    + cls.spec.latencyObjectiveNs()
                    + (long) (cls.spec.objectivePerWork() * usualNs());
        }
    }

    /** The queries of one key, in the order in which they were taken. */
    static final class KeyLine {
        final ArrayDeque<Query> waiting = new ArrayDeque<>();
        long restUntilNs = NEVER;
    }

    /** An attempt that was given up and may run on. */
    record Ghost(long untilNs, Query of) {}

    /** What a tenant sent lately: a count that fades, and when it was the last. */
    static final class TenantFacts {
        final double quotaPerS;
        double count;
        long lastNs = NEVER;

        TenantFacts(double quotaPerS) {
            this.quotaPerS = quotaPerS;
        }
    }

    /** One bound on threads, and the period that moves it. */
    static final class Bound {
        int cores;
        int threads;

        /** Threads by which feedback moved the bound from its seed, and the last step. */
        double moved;

        double lastStep;
        long periodStartNs;
        int completions;
        double responseSumNs;
        double lastThroughput;
        double lastResponseNs;
        boolean periodHeld;
        long fullNs = NEVER;

        void startPeriod(double throughput, double response, long now) {
            lastThroughput = throughput;
            lastResponseNs = response;
            completions = 0;
            responseSumNs = 0;
            periodStartNs = now;
            periodHeld = false;
        }
    }

    /** An engine that the list has named. */
    static final class Engine {
        final String name;

        /** What the list says of it; null when it has left the list. */
        Endpoint entry;

        int cores = 1;
        double memoryMb;

        /** When, by our share of what it bears while cold, all that was sent is worked off. */
        double coldNextNs = Double.NaN;

        final List<Query> running = new ArrayList<>();
        final ArrayDeque<Ghost> ghosts = new ArrayDeque<>();
        Bound bound = new Bound();
        int threads;
        double workMs;

        /**
         * Mean log of response times over the usual, the answers in it and when it was the last.
         */
        double slowLog;

        double slowWeight;
        long slowNs;
        long fullNs = NEVER;
        LoadReport report = LoadReport.NONE;
        long reportNs = NEVER;
        long heardNs = NEVER;
        long probedNs = NEVER;
        boolean probing;
        long avoidNs;

        /** Share of its late answers that were errors. */
        double errors;

        long avoidUntilNs = NEVER;

        Engine(String name) {
            this.name = name;
        }
    }
}
