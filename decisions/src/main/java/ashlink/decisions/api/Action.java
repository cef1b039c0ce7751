package ashlink.decisions.api;

/** Something that a workload manager decided and its router carries out. */
public sealed interface Action {

    /**
     * Send the query to an engine. The attempts of a query are numbered from 0.
     *
     * @param id the query
     * @param engine the engine to send it to
     * @param timeoutNs time after which the attempt is given up
     */
    record StartAttempt(long id, String engine, long timeoutNs) implements Action {}

    /**
     * Resources of the query's next attempts; the priority also applies to the attempt in flight.
     *
     * @param id the query
     * @param priority scheduling priority on the engine; higher runs first
     * @param memoryMb memory grant in MB; 0 for none
     */
    record SetAttemptResources(long id, int priority, long memoryMb) implements Action {}

    /**
     * Final answer: the query was not executed or may be repeated without harm.
     *
     * @param id the query
     * @param retryAfterNs Retry-After for the client; 0 for none
     */
    record Reject(long id, long retryAfterNs) implements Action {}

    /** Final answer: query {@code id} failed; nothing is promised about its effect. */
    record Fail(long id) implements Action {}

    /** Cancel the attempt of query {@code id} with that number. */
    record CancelAttempt(long id, int attempt) implements Action {}

    /** Send a health check to an engine; its result includes a load report. */
    record CheckHealth(String engine) implements Action {}

    /** Deliver {@link Event.TimerFired} with that label at that time. */
    record SetTimer(long label, long timeNs) implements Action {}

    /** Ask service discovery for the endpoint list and its changes. */
    record WatchEndpoints() implements Action {}

    /** A log line for the operators. */
    record Log(String text) implements Action {}
}
