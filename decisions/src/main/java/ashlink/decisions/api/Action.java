package ashlink.decisions.api;

/** A decision of a workload manager, carried out by its router. */
public sealed interface Action {

    /**
     * Sends the query to an engine. The attempts of a query are numbered from 0.
     *
     * @param id the query
     * @param engine the engine to send the query to
     * @param timeoutNs duration after which the attempt times out
     */
    record StartAttempt(long id, String engine, long timeoutNs) implements Action {}

    /**
     * Sets the resources of the next attempts of a query; the priority also applies to the attempt
     * in flight.
     *
     * @param id the query
     * @param priority scheduling priority on the engine; higher runs first
     * @param memoryMb memory grant in MB; 0 for none
     */
    record SetAttemptResources(long id, int priority, long memoryMb) implements Action {}

    /**
     * Sends the final answer that the query is rejected: it was not executed, or the client may
     * safely repeat it.
     *
     * @param id the query
     * @param retryAfterNs the Retry-After for the client; 0 for none
     */
    record Reject(long id, long retryAfterNs) implements Action {}

    /**
     * Sends the final answer that query {@code id} failed; the query may or may not have been
     * executed.
     */
    record Fail(long id) implements Action {}

    /** Cancels the given attempt of query {@code id}. */
    record CancelAttempt(long id, int attempt) implements Action {}

    /** Sends a health check to an engine; the result includes a load report. */
    record CheckHealth(String engine) implements Action {}

    /** Requests a {@link Event.TimerFired} event with the label at the given time. */
    record SetTimer(long label, long timeNs) implements Action {}

    /** Requests the endpoint list and its changes from service discovery. */
    record WatchEndpoints() implements Action {}

    /** Writes a line to the log. */
    record Log(String text) implements Action {}
}
