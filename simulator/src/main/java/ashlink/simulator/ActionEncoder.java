package ashlink.simulator;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Action.WatchEndpoints;

/**
 * Encodes the actions of instances as lines of the simulator protocol and appends them to a buffer.
 */
final class ActionEncoder {

    private final StringBuilder out;

    ActionEncoder(StringBuilder out) {
        this.out = out;
    }

    /** Encodes one action. */
    void encode(long instanceId, Action action) {
        if (action instanceof StartAttempt startAttempt) {
            startAttempt(instanceId, startAttempt);
        } else if (action instanceof SetAttemptResources resources) {
            setAttemptResources(instanceId, resources);
        } else if (action instanceof Reject reject) {
            begin(WireNames.REJECT, instanceId);
            field(WireNames.QUERY_ID, reject.id());
            field(WireNames.RETRY_AFTER_NS, reject.retryAfterNs());
        } else if (action instanceof Fail fail) {
            begin(WireNames.FAIL, instanceId);
            field(WireNames.QUERY_ID, fail.id());
        } else if (action instanceof CancelAttempt cancel) {
            begin(WireNames.CANCEL_ATTEMPT, instanceId);
            field(WireNames.QUERY_ID, cancel.id());
            field(WireNames.ATTEMPT_NUMBER, cancel.attempt());
        } else if (action instanceof CheckHealth check) {
            begin(WireNames.CHECK_HEALTH, instanceId);
            field(WireNames.ENGINE, check.engine());
        } else if (action instanceof SetTimer timer) {
            begin(WireNames.SET_TIMER, instanceId);
            field(WireNames.TIMER_LABEL, timer.label());
            field(WireNames.TIMER_NS, timer.timeNs());
        } else if (action instanceof WatchEndpoints) {
            begin(WireNames.WATCH_ENDPOINTS, instanceId);
            field(WireNames.WATCH_ENABLED, 1);
        } else if (action instanceof Log log) {
            begin(WireNames.LOG, instanceId);
            field(WireNames.TEXT, log.text());
        }
        end();
    }

    private void startAttempt(long instanceId, StartAttempt action) {
        begin(WireNames.START_ATTEMPT, instanceId);
        field(WireNames.QUERY_ID, action.id());
        field(WireNames.TIMEOUT_NS, action.timeoutNs());
        field(WireNames.ENGINE, action.engine());
    }

    private void setAttemptResources(long instanceId, SetAttemptResources action) {
        begin(WireNames.SET_ATTEMPT_RESOURCES, instanceId);
        field(WireNames.QUERY_ID, action.id());
        field(WireNames.PRIORITY, action.priority());
        field(WireNames.MEMORY_MB, action.memoryMb());
    }

    /** Encodes the report that an instance could not be created. */
    void encodeInstanceFailure(long instanceId, String reason) {
        begin(WireNames.INSTANCE_FAILED, instanceId);
        field(WireNames.TEXT, reason);
        end();
    }

    private void begin(String line, long instanceId) {
        out.append(line);
        field(WireNames.INSTANCE_ID, instanceId);
    }

    private void field(String name, long value) {
        out.append(' ').append(name).append('=').append(value);
    }

    private void field(String name, String value) {
        out.append(' ').append(name).append('=').append(value);
    }

    private void end() {
        out.append('\n');
    }
}
