package ashlink.decisions.api;

import java.util.List;

/** Something that happened at a router. */
public sealed interface Event {

    /**
     * Service discovery delivered endpoints, or did not answer.
     *
     * @param kind a snapshot or a cached list replaces the known endpoints
     * @param endpoints the endpoints of the list; empty if it is unavailable
     */
    record EndpointsChanged(EndpointListKind kind, List<Endpoint> endpoints) implements Event {}

    /**
     * A client submitted a query.
     *
     * @param id identifier of the query, unique in the router
     * @param queryClass name of its class
     * @param key ordering key; null for a query without order
     * @param tableGroup number of the group of tables that it reads or writes
     * @param deadlineNs time at which the client gives up
     * @param estimatedWorkNs estimate of its work; 0 if there is none
     * @param estimatedMemoryMb estimate of its memory in MB; 0 if there is none
     * @param tenant name of its tenant; empty for none
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

        /** A query without a tenant. */
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

    /** A client disconnected; its query {@code id} needs no answer any more. */
    record ClientDisconnected(long id) implements Event {}

    /**
     * A running attempt reported progress.
     *
     * @param id the query
     * @param attempt number of the attempt, from 0
     * @param engine the engine that runs it
     * @param kind what is reported
     * @param amount the value, in the unit of its kind
     */
    record AttemptProgress(long id, int attempt, String engine, ProgressKind kind, double amount)
            implements Event {}

    /**
     * An attempt ended.
     *
     * @param id the query
     * @param attempt number of the attempt, from 0
     * @param engine the engine that it was sent to
     * @param outcome how it ended
     * @param durationNs time from its start to its end
     * @param clientAnswered whether the client has its final answer
     * @param workMs work that the query needed; 0 if unknown
     * @param memoryMb memory that the query needed, in MB; 0 if unknown
     * @param loadReport the engine's load report
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
     * @param outcome how the check ended
     * @param durationNs time from its start to its end
     * @param loadReport the engine's load report
     */
    record HealthCheckCompleted(
            String engine, Outcome outcome, long durationNs, LoadReport loadReport)
            implements Event {}

    /** A timer that was set by {@link Action.SetTimer} with this label fired. */
    record TimerFired(long label) implements Event {}
}
