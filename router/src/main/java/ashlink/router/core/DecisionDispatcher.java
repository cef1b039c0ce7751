package ashlink.router.core;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.CheckHealth;
import ashlink.decisions.api.Action.Fail;
import ashlink.decisions.api.Action.Log;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.SetAttemptResources;
import ashlink.decisions.api.Action.SetTimer;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.WorkloadManager;
import ashlink.router.failure.FailureLog;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Passes events to the decision module and performs the resulting actions in the order in which the
 * decision module returns them. Unless stated otherwise, methods run on the decision thread. No
 * method blocks.
 */
final class DecisionDispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(DecisionDispatcher.class);

    /** Time after which a timer whose event failed fires again. */
    static final long TIMER_RETRY_NS = TimeUnit.MILLISECONDS.toNanos(100);

    private final WorkloadManager workloadManager;
    private final EngineTransport transport;
    private final CoreClock clock;
    private final DecisionThread thread;
    private final ScheduledThreadPoolExecutor timer;
    private final OpenRequestTable requests;
    private final RequestMetrics metrics;
    private final FallbackResponder responder;
    private final AttemptRunner attemptRunner;
    private volatile Core.Observer observer = (event, nowNs, actions) -> {};

    DecisionDispatcher(
            WorkloadManager workloadManager,
            Map<String, QueryClass> classes,
            EngineTransport transport,
            CoreClock clock,
            DecisionThread thread,
            ScheduledThreadPoolExecutor timer,
            OpenRequestTable requests,
            RequestMetrics metrics,
            FallbackResponder responder) {
        this.workloadManager = workloadManager;
        this.responder = responder;
        this.transport = transport;
        this.clock = clock;
        this.thread = thread;
        this.timer = timer;
        this.requests = requests;
        this.metrics = metrics;
        attemptRunner =
                new AttemptRunner(classes, clock, thread, timer, requests, metrics, this::dispatch);
    }

    /** Sets the observer of decisions; may be called on any thread. */
    void observe(Core.Observer newObserver) {
        observer = newObserver;
    }

    // Events

    /**
     * Passes an event to the decision module and performs the resulting actions.
     *
     * @return false if the decision module failed
     */
    boolean dispatch(Event event) {
        List<Action> actions;
        long nowNs = clock.nowNs();
        try {
            actions = workloadManager.onEvent(event, nowNs);
        } catch (RuntimeException | Error e) {
            metrics.onDecisionError();
            FailureLog.error(LOG, "decision module failed event=\"{}\"", event, e);
            return false;
        }
        observer.onDecision(event, nowNs, actions);
        for (Action action : actions) {
            perform(action);
        }
        return true;
    }

    /**
     * Submits a request to the decision module, unless its deadline has passed or its client is
     * gone.
     */
    void submit(OpenRequest openRequest) {
        if (openRequest.isAnswered()) {
            requests.removeIfDone(openRequest);
            return;
        }
        CoreRequest request = openRequest.request;
        metrics.onAdmitted(request.queryClass());
        boolean dispatched =
                dispatch(
                        new QuerySubmitted(
                                openRequest.id,
                                request.queryClass(),
                                request.key(),
                                request.tableGroup(),
                                openRequest.deadlineNs,
                                request.estimatedWorkNs(),
                                request.estimatedMemoryMb(),
                                request.tenant()));
        if (!dispatched) {
            respond(openRequest, AttemptEndReason.CANCELLED, RequestCompletion.DECISION_ERROR);
        }
    }

    /**
     * Tells the decision module that nobody waits for a request any more. Has no effect if the
     * request was not submitted to it or is over.
     */
    void forget(OpenRequest openRequest) {
        if (requests.get(openRequest.id) == openRequest) {
            dispatch(new ClientDisconnected(openRequest.id));
            requests.removeIfDone(openRequest);
        }
    }

    /**
     * Aborts all attempts, and sends a final response for each request whose response has not
     * begun.
     */
    void respondToAll() {
        for (OpenRequest openRequest : requests.snapshot()) {
            respond(openRequest, AttemptEndReason.CANCELLED, RequestCompletion.SHUTDOWN);
        }
    }

    private void respond(
            OpenRequest openRequest, AttemptEndReason reason, RequestCompletion completion) {
        if (requests.tryClaimResponse(openRequest, completion)) {
            responder.abortAndRespond(openRequest, reason);
            forget(openRequest);
        }
    }

    // Actions

    private void perform(Action action) {
        if (action instanceof StartAttempt startAttempt) {
            attemptRunner.start(startAttempt);
        } else if (action instanceof SetAttemptResources resources) {
            setResources(resources);
        } else if (action instanceof Reject reject) {
            reject(reject);
        } else if (action instanceof Fail fail) {
            fail(fail);
        } else if (action instanceof CancelAttempt cancelAttempt) {
            attemptRunner.cancel(cancelAttempt);
        } else if (action instanceof CheckHealth checkHealth) {
            checkHealth(checkHealth.engine());
        } else if (action instanceof SetTimer setTimer) {
            setTimer(setTimer);
        } else if (action instanceof Log log) {
            LOG.warn("{}", log.text());
        }
    }

    private void setResources(SetAttemptResources resources) {
        OpenRequest openRequest = requests.get(resources.id());
        if (openRequest != null) {
            openRequest.priority = resources.priority();
            openRequest.memoryMb = resources.memoryMb();
        }
    }

    private void reject(Reject reject) {
        OpenRequest openRequest =
                requests.tryClaimResponse(reject.id(), RequestCompletion.REJECTED);
        if (openRequest != null) {
            openRequest.sink.reject(reject.retryAfterNs());
            requests.removeIfDone(openRequest);
        }
    }

    private void fail(Fail fail) {
        OpenRequest openRequest = requests.tryClaimResponse(fail.id(), RequestCompletion.FAILED);
        if (openRequest != null) {
            openRequest.sink.fail();
            requests.removeIfDone(openRequest);
        }
    }

    private void checkHealth(String engine) {
        long startNs = clock.nowNs();
        transport.checkHealth(
                engine,
                (outcome, loadReport) ->
                        thread.execute(
                                () ->
                                        dispatch(
                                                new HealthCheckCompleted(
                                                        engine,
                                                        outcome,
                                                        clock.nowNs() - startNs,
                                                        loadReport))));
    }

    private void setTimer(SetTimer setTimer) {
        schedule(setTimer.label(), setTimer.timeNs() - clock.nowNs());
    }

    private void schedule(long label, long delayNs) {
        timer.schedule(() -> thread.execute(() -> fireTimer(label)), delayNs, TimeUnit.NANOSECONDS);
    }

    /**
     * Tells the decision module that a timer has fired, and again later if the event failed: the
     * module sets its next timer only while it handles this one.
     */
    private void fireTimer(long label) {
        if (!dispatch(new TimerFired(label))) {
            schedule(label, TIMER_RETRY_NS);
        }
    }
}
