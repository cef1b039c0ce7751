package ashlink.router.core;

import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;

/** Reaches engines for the core. */
public interface Transport {

    /** Takes the result of a probe, once. */
    @FunctionalInterface
    interface ProbeSink {
        /** The probe came back. */
        void probed(Outcome outcome, LoadReport report);
    }

    /** Asks an engine whether it answers, and for its report; does not wait. */
    void probe(String engine, ProbeSink back);
}
