package ashlink.decisions.api;

import java.util.List;

/** An event at a router that a workload manager handles. */
public sealed interface Event {

    /**
     * Service discovery delivered endpoints, or did not answer.
     *
     * @param kind how the list relates to the known endpoints
     * @param endpoints the listed endpoints; empty for {@link EndpointListKind#UNAVAILABLE}
     */
    record EndpointsChanged(EndpointListKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A client submitted a query.
     *
     * @param id identifier of the query, unique within the router
     * @param queryClass name of the query class
     * @param key ordering key; null for a query without order
     * @param tableGroup number of the table group that the query reads or writes
     * @param deadlineNs time at which the client stops waiting
     * @param estimatedWorkNs estimated work; 0 if there is no estimate
     * @param estimatedMemoryMb estimated memory in MB; 0 if there is no estimate
     * @param tenant name of the tenant; empty for none
     */
    record QuerySubmitted(
            long id,
            String queryClass,
            String key,
            long tableGroup,
            long deadlineNs,
            long estimatedWorkNs,
            double estimatedMemoryMb,
            String tenant)
            implements Event {

        /** Creates the event for a query without a tenant. */
        public QuerySubmitted(
                long id,
                String queryClass,
                String key,
                long tableGroup,
                long deadlineNs,
                long estimatedWorkNs,
                double estimatedMemoryMb) {
            this(
                    id,
                    queryClass,
                    key,
                    tableGroup,
                    deadlineNs,
                    estimatedWorkNs,
                    estimatedMemoryMb,
                    "");
        }
    }

    /** A client disconnected; query {@code id} no longer needs an answer. */
    record ClientDisconnected(long id) implements Event {}

    /**
     * A running attempt reported progress.
     *
     * @param id the query
     * @param attempt number of the attempt, from 0
     * @param engine the engine that runs the attempt
     * @param kind the kind of progress
     * @param amount the value, in the unit of the kind
     */
    record AttemptProgress(long id, int attempt, String engine, ProgressKind kind, double amount)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param id the query
     * @param attempt number of the attempt, from 0
     * @param engine the engine that the attempt was sent to
     * @param outcome how the attempt ended
     * @param durationNs time from the start to the end of the attempt
     * @param clientAnswered whether the client has its final answer
     * @param workMs work that the query needed; 0 if unknown
     * @param memoryMb memory that the query needed, in MB; 0 if unknown
     * @param loadReport the load report of the engine
     */
    record AttemptEnded(
            long id,
            int attempt,
            String engine,
            Outcome outcome,
            long durationNs,
            boolean clientAnswered,
            double workMs,
            double memoryMb,
            LoadReport loadReport)
            implements Event {}

    /**
     * A health check completed.
     *
     * @param engine the engine that was checked
     * @param outcome how the health check ended
     * @param durationNs time from the start to the end of the health check
     * @param loadReport the load report of the engine
     */
    record HealthCheckCompleted(
            String engine, Outcome outcome, long durationNs, LoadReport loadReport)
            implements Event {}

    /** A timer set by {@link Action.SetTimer} with this label fired. */
    record TimerFired(long label) implements Event {}
}
