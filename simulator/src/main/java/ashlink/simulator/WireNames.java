package ashlink.simulator;

import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.EndpointState;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.ProgressKind;
import java.util.Map;

/** Names of the simulator protocol, and the types that protocol values map to. */
final class WireNames {

    // Lines that delimit a batch, list endpoints, or create and remove instances.
    static final String BATCH_START = "SYNC";
    static final String BATCH_END = "END";
    static final String BATCH_REPLY = "OK";
    static final String ENDPOINT_LIST = "LIST";
    static final String ENDPOINT = "M";
    static final String CREATE_INSTANCE = "NEW_INSTANCE";
    static final String REMOVE_INSTANCE = "RETIRE";

    // Lines that carry an event.
    static final String ENDPOINTS_CHANGED = "ANNOUNCE";
    static final String QUERY_SUBMITTED = "INGRESS";
    static final String CLIENT_DISCONNECTED = "CLIENT_GONE";
    static final String ATTEMPT_PROGRESS = "UPDATE_OF";
    static final String ATTEMPT_ENDED = "RESOLVED";
    static final String HEALTH_CHECK_COMPLETED = "PONG";
    static final String TIMER_FIRED = "FIRED";

    // Lines that carry an action.
    static final String START_ATTEMPT = "FORWARD";
    static final String SET_ATTEMPT_RESOURCES = "LIMITS_FOR";
    static final String REJECT = "REFUSE";
    static final String FAIL = "REPORT_FAILURE";
    static final String CANCEL_ATTEMPT = "CALL_OFF";
    static final String CHECK_HEALTH = "PING";
    static final String SET_TIMER = "SET_ALARM";
    static final String WATCH_ENDPOINTS = "TAIL";
    static final String LOG = "REMARK";
    static final String INSTANCE_FAILED = "BAIL_OUT";

    // Fields of several kinds of lines.
    static final String INSTANCE_ID = "router-id";
    static final String QUERY_ID = "op-id";
    static final String ATTEMPT_NUMBER = "shot";
    static final String ENGINE = "engine";
    static final String OUTCOME = "verdict";
    static final String ELAPSED_NS = "lag-ns";
    static final String LOAD_REPORT = "gauge";
    static final String TIMER_LABEL = "label";
    static final String ENDPOINT_LIST_ID = "list";
    static final String TIMEOUT_NS = "timeout-ns";
    static final String TEXT = "reason-text";

    // Fields of one kind of line.
    static final String TIME_NS = "moment-ns";
    static final String ENDPOINT_COUNT = "lines";
    static final String ENDPOINT_STATE = "phase";
    static final String ENDPOINT_ZONE = "zone";
    static final String ENDPOINT_KIND = "sku";
    static final String ENDPOINT_CELL = "stripe";
    static final String ENDPOINT_STARTED_NS = "came-up-ns";
    static final String ENDPOINT_LIST_KIND = "form";
    static final String QUERY_CLASS = "class";
    static final String ORDERING_KEY = "relation";
    static final String TABLE_GROUP = "data-group";
    static final String DEADLINE_NS = "drop-dead-ns";
    static final String ESTIMATED_WORK_NS = "guess-ns";
    static final String ESTIMATED_MEMORY_MB = "want-mb";
    static final String TENANT = "tenant";
    static final String PROGRESS_KIND = "sort";
    static final String PROGRESS_AMOUNT = "amount";
    static final String RESPONSE_COMPLETE = "complete";
    static final String COST = "note";
    static final String PRIORITY = "prio";
    static final String MEMORY_MB = "mem-mb";
    static final String RETRY_AFTER_NS = "hold-off-ns";
    static final String TIMER_NS = "time-ns";
    static final String WATCH_ENABLED = "enable";

    /** Value that stands for a missing load report. */
    static final String NO_LOAD_REPORT = "-";

    static final Map<String, EndpointState> ENDPOINT_STATES =
            Map.of(
                    "ready", EndpointState.READY,
                    "draining", EndpointState.DRAINING,
                    "gone", EndpointState.REMOVED);

    static final Map<String, EndpointListKind> ENDPOINT_LIST_KINDS =
            Map.of(
                    "all", EndpointListKind.SNAPSHOT,
                    "changes", EndpointListKind.DELTA,
                    "remembered", EndpointListKind.CACHED,
                    "refused", EndpointListKind.UNAVAILABLE);

    static final Map<String, Outcome> OUTCOMES =
            Map.of(
                    "delivered", Outcome.SERVED,
                    "app_error", Outcome.ERROR,
                    "shed", Outcome.REJECTED,
                    "expired", Outcome.TIMED_OUT,
                    "dial_failed", Outcome.CONNECT_FAILED,
                    "dropped", Outcome.RESET,
                    "revoked", Outcome.CANCELLED,
                    "unused", Outcome.NOT_SENT);

    static final Map<Integer, ProgressKind> PROGRESS_KINDS =
            Map.of(
                    1, ProgressKind.FRACTION_DONE,
                    2, ProgressKind.SPILLED_MB,
                    3, ProgressKind.WAITING);

    private WireNames() {}
}
