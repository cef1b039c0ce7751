package ashlink.router.core;

import java.util.function.IntSupplier;

/** Receives what the core counts. Methods are called on any thread and must not block. */
public interface RequestMetrics {

    /** Ignores everything. */
    RequestMetrics NONE = new RequestMetrics() {};

    /**
     * Called once, when the core is created; the suppliers may be called at any time.
     *
     * @param queuedEvents events that wait for the decision thread
     * @param openRequests requests without a final answer
     */
    default void registerGauges(IntSupplier queuedEvents, IntSupplier openRequests) {}

    /** A request was admitted to the decision module. */
    default void onAdmitted(String queryClass) {}

    /** A request got its final answer. */
    default void onAnswered(String queryClass, FinalAnswer answer) {}

    /** An attempt ended; {@code outcome} is the name of an {@code Outcome}. */
    default void onAttemptEnded(String engine, String outcome) {}

    /** The decision module threw. */
    default void onDecisionError() {}
}
