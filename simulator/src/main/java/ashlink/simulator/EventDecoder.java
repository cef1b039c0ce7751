package ashlink.simulator;

import ashlink.config.flat.Fields;
import ashlink.config.flat.LoadReportParser;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Decodes lines of the simulator protocol into events.
 *
 * <p>All methods throw {@link ashlink.config.flat.FieldException} for a missing or invalid field.
 */
final class EventDecoder {

    /** Factor of the work in ms in the encoded cost of a query: work * factor + memory. */
    private static final int COST_WORK_FACTOR = 4096;

    /** Unit of the memory in the encoded cost of a query. */
    private static final int COST_MEMORY_UNIT_MB = 4;

    private static final char LOAD_REPORT_SEPARATOR = ',';

    private EventDecoder() {}

    /** Decodes one entry of an endpoint list. */
    static Endpoint endpoint(Fields fields) {
        String state = fields.required(WireNames.ENDPOINT_STATE);
        return new Endpoint(
                fields.required(WireNames.ENGINE),
                requireKnown(WireNames.ENDPOINT_STATES, state, "M: phase=" + state),
                fields.text(WireNames.ENDPOINT_ZONE, ""),
                fields.text(WireNames.ENDPOINT_KIND, ""),
                fields.integer(WireNames.ENDPOINT_CELL, 0),
                fields.integer(WireNames.ENDPOINT_STARTED_NS, 0));
    }

    /**
     * Decodes a change of the endpoints.
     *
     * @param endpoints endpoints of the list that the line references
     */
    static EndpointsChanged endpointsChanged(Fields fields, List<Endpoint> endpoints) {
        String kindName = fields.required(WireNames.ENDPOINT_LIST_KIND);
        EndpointListKind kind =
                requireKnown(WireNames.ENDPOINT_LIST_KINDS, kindName, "ANNOUNCE: form=" + kindName);
        return new EndpointsChanged(
                kind, kind == EndpointListKind.UNAVAILABLE ? List.of() : endpoints);
    }

    /**
     * Decodes any other event.
     *
     * @param name first word of the line
     * @param reportsCost whether responses of engines include the cost of a query
     * @return the event, or null for a line that is not meant for the decision module
     */
    static Event event(String name, Fields fields, boolean reportsCost) {
        return switch (name) {
            case WireNames.QUERY_SUBMITTED -> querySubmitted(fields);
            case WireNames.CLIENT_DISCONNECTED ->
                    new ClientDisconnected(fields.integer(WireNames.QUERY_ID));
            case WireNames.ATTEMPT_PROGRESS -> attemptProgress(fields);
            case WireNames.TIMER_FIRED -> new TimerFired(fields.integer(WireNames.TIMER_LABEL));
            case WireNames.ATTEMPT_ENDED -> attemptEnded(fields, reportsCost);
            case WireNames.HEALTH_CHECK_COMPLETED -> healthCheckCompleted(fields);
            default -> null;
        };
    }

    private static QuerySubmitted querySubmitted(Fields fields) {
        return new QuerySubmitted(
                fields.integer(WireNames.QUERY_ID),
                fields.required(WireNames.QUERY_CLASS),
                fields.text(WireNames.ORDERING_KEY),
                fields.integer(WireNames.TABLE_GROUP, 0),
                fields.integer(WireNames.DEADLINE_NS),
                fields.integer(WireNames.ESTIMATED_WORK_NS, 0),
                fields.number(WireNames.ESTIMATED_MEMORY_MB, 0),
                fields.text(WireNames.TENANT, ""));
    }

    private static AttemptProgress attemptProgress(Fields fields) {
        return new AttemptProgress(
                fields.integer(WireNames.QUERY_ID),
                (int) fields.integer(WireNames.ATTEMPT_NUMBER, 0),
                fields.required(WireNames.ENGINE),
                progressKind(fields.integer(WireNames.PROGRESS_KIND)),
                fields.number(WireNames.PROGRESS_AMOUNT, 0));
    }

    private static AttemptEnded attemptEnded(Fields fields, boolean reportsCost) {
        long cost = reportsCost ? fields.integer(WireNames.COST, 0) : 0;
        return new AttemptEnded(
                fields.integer(WireNames.QUERY_ID),
                (int) fields.integer(WireNames.ATTEMPT_NUMBER, 0),
                fields.required(WireNames.ENGINE),
                outcome(fields.required(WireNames.OUTCOME)),
                fields.integer(WireNames.ELAPSED_NS, 0),
                fields.flag(WireNames.RESPONSE_COMPLETE),
                cost / COST_WORK_FACTOR,
                (double) (cost % COST_WORK_FACTOR) * COST_MEMORY_UNIT_MB,
                loadReport(fields.text(WireNames.LOAD_REPORT)));
    }

    private static HealthCheckCompleted healthCheckCompleted(Fields fields) {
        return new HealthCheckCompleted(
                fields.required(WireNames.ENGINE),
                outcome(fields.required(WireNames.OUTCOME)),
                fields.integer(WireNames.ELAPSED_NS, 0),
                loadReport(fields.text(WireNames.LOAD_REPORT)));
    }

    private static ProgressKind progressKind(long number) {
        return requireKnown(WireNames.PROGRESS_KINDS, (int) number, "UPDATE_OF: sort=" + number);
    }

    private static Outcome outcome(String name) {
        return requireKnown(WireNames.OUTCOMES, name, "verdict=" + name);
    }

    private static <K, V> V requireKnown(Map<K, V> values, K key, String description) {
        V value = values.get(key);
        if (value == null) {
            throw new SimulatorProtocolException(
                    description + " is invalid: accepted are " + new TreeSet<>(values.keySet()));
        }
        return value;
    }

    /**
     * Decodes a load report. Skips values with unknown names.
     *
     * @param text the report; null, empty or {@link WireNames#NO_LOAD_REPORT} if there is none
     */
    static LoadReport loadReport(String text) {
        if (text == null || text.isEmpty() || text.equals(WireNames.NO_LOAD_REPORT)) {
            return LoadReport.NONE;
        }
        return LoadReportParser.read(
                text, LOAD_REPORT_SEPARATOR, EventDecoder::rejectMalformedPair);
    }

    private static void rejectMalformedPair(String pair) {
        throw new SimulatorProtocolException(
                "gauge: invalid pair '" + pair + "': expected name:value with a numeric value");
    }
}
