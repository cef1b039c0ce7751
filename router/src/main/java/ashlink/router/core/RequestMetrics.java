package ashlink.router.core;

import java.util.function.IntSupplier;

/** Receives the metrics of the core. Methods are called on any thread and must not block. */
public interface RequestMetrics {

    /** Implementation that records nothing. */
    RequestMetrics NONE = new RequestMetrics() {};

    /**
     * Registers gauges. This method is called once, when the core is created; the suppliers may be
     * called at any time.
     *
     * @param queuedEvents number of events that wait for the decision thread
     * @param openRequests number of requests without a final response
     */
    default void registerGauges(IntSupplier queuedEvents, IntSupplier openRequests) {}

    /** Records that a request was admitted to the decision module. */
    default void onAdmitted(String queryClass) {}

    /** Records how a request was completed. */
    default void onCompleted(String queryClass, RequestCompletion completion) {}

    /** Records the end of an attempt; {@code outcome} is the name of an {@code Outcome}. */
    default void onAttemptEnded(String engine, String outcome) {}

    /** Records that the decision module threw an exception. */
    default void onDecisionError() {}
}
