package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.WorkloadManager;
import java.util.Map;

/** Creates cores with the decision module of a test, whose engines are all healthy. */
final class TestCores {

    /** Ignores all responses; tests override what they expect. */
    static class IgnoredResponses implements ResponseSink {
        @Override
        public void start(Attempt attempt) {}

        @Override
        public void reject(long retryAfterNs) {}

        @Override
        public void fail() {}

        @Override
        public void abortPartial(Outcome outcome) {}
    }

    private TestCores() {}

    static Core create(
            WorkloadManager workloadManager, Map<String, QueryClass> classes, CoreClock clock) {
        return new Core(
                "test",
                workloadManager,
                classes,
                (engine, listener) ->
                        listener.onHealthCheckCompleted(Outcome.SERVED, LoadReport.NONE),
                clock,
                new AdmissionLimits(10, 10, 10),
                RequestMetrics.NONE,
                new DelayMonitor(clock::nowNs));
    }
}
