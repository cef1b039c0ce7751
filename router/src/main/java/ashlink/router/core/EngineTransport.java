package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;

/** Reaches engines for the core. */
public interface EngineTransport {

    /** Takes the result of a probe, once. */
    @FunctionalInterface
    interface HealthCheckListener {
        /** The probe came back. */
        void onHealthCheckCompleted(Outcome outcome, LoadReport report);
    }

    /** Asks an engine whether it answers, and for its report; does not wait. */
    void checkHealth(String engine, HealthCheckListener back);
}
