package ashlink.decisions;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.WatchEndpoints;
import ashlink.decisions.api.EndpointListKind;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.AttemptProgress;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import java.util.List;

/**
 * The workload manager of one router. Forwards each event to the component responsible for it and
 * then lets the {@link QueryDispatcher} start attempts; contains no policy of its own.
 */
public final class DefaultWorkloadManager implements WorkloadManager {

    private final WorkloadManagerComponents components;
    private final ActionBuffer actions;
    private boolean started;

    /**
     * Creates a workload manager that knows no engines yet.
     *
     * @param settings the configuration of the router
     */
    public DefaultWorkloadManager(Settings settings) {
        components = new WorkloadManagerComponents(settings);
        actions = components.actions;
    }

    @Override
    public List<Action> onEvent(Event event, long nowNs) {
        actions.startEvent();
        if (!started) {
            start(nowNs);
        }
        if (event instanceof QuerySubmitted submitted) {
            onSubmitted(submitted, nowNs);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended, nowNs);
        } else if (event instanceof AttemptProgress progress) {
            components.attempts.onProgress(progress, nowNs);
        } else if (event instanceof HealthCheckCompleted completed) {
            onHealthChecked(completed, nowNs);
        } else if (event instanceof ClientDisconnected disconnected) {
            onDisconnected(disconnected, nowNs);
        } else if (event instanceof EndpointsChanged changed) {
            onEndpointsChanged(changed, nowNs);
        } else if (event instanceof TimerFired timer) {
            onTimer(timer, nowNs);
        }
        return actions.actions();
    }

    private void start(long nowNs) {
        started = true;
        if (components.endpointsMustBeWatched) {
            actions.add(new WatchEndpoints());
        }
        components.maintenance.schedule(nowNs);
    }

    private void onSubmitted(QuerySubmitted submitted, long nowNs) {
        QueryState query = components.submissions.submit(submitted, nowNs);
        if (query != null) {
            components.dispatcher.dispatch(nowNs);
            components.completion.finishIfDue(query, nowNs);
        }
    }

    private void onEnded(AttemptEnded ended, long nowNs) {
        EngineState engine = components.attempts.onEnded(ended, nowNs);
        if (engine != null) {
            components.feedback.closePeriodIfComplete(engine.limit, nowNs);
            components.dispatcher.dispatch(nowNs);
        }
    }

    private void onHealthChecked(HealthCheckCompleted completed, long nowNs) {
        EngineState engine = components.engines.find(completed.engine());
        if (engine != null) {
            components.healthChecks.recordResult(
                    engine, completed.outcome(), completed.loadReport(), nowNs);
            components.dispatcher.dispatch(nowNs);
        }
    }

    private void onDisconnected(ClientDisconnected disconnected, long nowNs) {
        if (components.disconnects.onDisconnected(disconnected.id())) {
            components.dispatcher.dispatch(nowNs);
        }
    }

    private void onEndpointsChanged(EndpointsChanged changed, long nowNs) {
        if (changed.kind() == EndpointListKind.UNAVAILABLE) {
            actions.add(new WatchEndpoints());
            return;
        }
        components.engines.apply(changed, components.limiter::resetAdjustment);
        components.placement.reset();
        components.limiter.assignLimits();
        components.dispatcher.dispatch(nowNs);
    }

    private void onTimer(TimerFired timer, long nowNs) {
        if (timer.label() == MaintenanceTask.TIMER_LABEL) {
            components.maintenance.run(nowNs);
        }
        components.dispatcher.dispatch(nowNs);
    }
}
