package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;

/** Sends health checks to engines on behalf of the core. Thread-safe. */
public interface EngineTransport {

    /** Receives the result of one health check exactly once, on any thread. */
    @FunctionalInterface
    interface HealthCheckListener {
        /**
         * Handles the result; {@code report} is {@link LoadReport#NONE} if the engine sent no load
         * report.
         */
        void onHealthCheckCompleted(Outcome outcome, LoadReport report);
    }

    /** Starts a health check of an engine; does not block. */
    void checkHealth(String engine, HealthCheckListener listener);
}
