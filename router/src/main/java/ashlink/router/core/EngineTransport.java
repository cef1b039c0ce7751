package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;

/** Reaches engines for the core. Thread-safe. */
public interface EngineTransport {

    /** Receives the result of one health check, exactly once, on any thread. */
    @FunctionalInterface
    interface HealthCheckListener {
        /** The health check completed, with {@link LoadReport#NONE} where it brought no report. */
        void onHealthCheckCompleted(Outcome outcome, LoadReport report);
    }

    /** Starts a health check of an engine; does not block. */
    void checkHealth(String engine, HealthCheckListener listener);
}
