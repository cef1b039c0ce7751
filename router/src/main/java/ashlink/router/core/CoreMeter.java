package ashlink.router.core;

import java.util.function.IntSupplier;

/** What the core counts, for whoever wants to know. */
public interface CoreMeter {

    /** Counts nothing. */
    CoreMeter NONE = new CoreMeter() {};

    /** The core is made; what is given tells its sizes at any time. */
    default void watch(IntSupplier queued, IntSupplier open) {}

    /** A request of that class was taken. */
    default void taken(String queryClass) {}

    /** A request got its final answer, in that way. */
    default void answered(String queryClass, String answer) {}

    /** An attempt at an engine ended. */
    default void attempted(String engine, String outcome) {}

    /** The decision module threw. */
    default void moduleError() {}
}
