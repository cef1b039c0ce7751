package ashlink.router.core;

import java.util.function.IntSupplier;

/** What the core counts, for whoever wants to know. */
public interface RequestMetrics {

    /** Counts nothing. */
    RequestMetrics NONE = new RequestMetrics() {};

    /** The core is made; what is given tells its sizes at any time. */
    default void registerGauges(IntSupplier queued, IntSupplier open) {}

    /** A request of that class was taken. */
    default void onAdmitted(String queryClass) {}

    /** A request got its final answer, in that way. */
    default void onAnswered(String queryClass, String answer) {}

    /** An attempt at an engine ended. */
    default void onAttemptEnded(String engine, String outcome) {}

    /** The decision module threw. */
    default void onDecisionError() {}
}
