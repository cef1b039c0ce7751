package ashlink.router.core;

import ashlink.decisions.api.Action.CancelAttempt;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.RepeatWindow;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts and cancels attempts as the decision module requests, and reports their ends to the
 * decision module. Unless stated otherwise, methods run on the decision thread. No method blocks.
 */
final class AttemptRunner {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptRunner.class);

    private final Map<String, QueryClass> classes;
    private final CoreClock clock;
    private final DecisionThread thread;
    private final ScheduledThreadPoolExecutor timer;
    private final OpenRequestTable requests;
    private final RequestMetrics metrics;
    private final Consumer<Event> dispatcher;

    /**
     * Creates a runner.
     *
     * @param classes query classes of the settings, by name
     * @param dispatcher passes an event to the decision module
     */
    AttemptRunner(
            Map<String, QueryClass> classes,
            CoreClock clock,
            DecisionThread thread,
            ScheduledThreadPoolExecutor timer,
            OpenRequestTable requests,
            RequestMetrics metrics,
            Consumer<Event> dispatcher) {
        this.classes = classes;
        this.clock = clock;
        this.thread = thread;
        this.timer = timer;
        this.requests = requests;
        this.metrics = metrics;
        this.dispatcher = dispatcher;
    }

    /**
     * Starts an attempt. Ignores the action if the request is closed or has an attempt in flight.
     * Ends the attempt at once if the request has its final response, so that the decision module
     * learns that the attempt is over.
     */
    void start(StartAttempt startAttempt) {
        OpenRequest openRequest = requests.get(startAttempt.id());
        if (openRequest == null || openRequest.attempt != null) {
            LOG.error(
                    "attempt of an ineligible request ignored request={} state={}",
                    startAttempt.id(),
                    openRequest == null ? "closed" : "in-flight");
            return;
        }
        Attempt attempt =
                new Attempt(
                        openRequest.id,
                        openRequest.startedAttempts++,
                        startAttempt.engine(),
                        clock.nowNs(),
                        openRequest.priority,
                        openRequest.memoryMb,
                        clock::nowNs,
                        sendBeforeNs(openRequest),
                        (ended, end) -> onEnd(openRequest, ended, end));
        openRequest.attempt = attempt;
        // Reads the response after it sets the attempt: a thread that claims the response at the
        // deadline reads them in the other order, so one of the two ends the attempt.
        if (openRequest.isAnswered()) {
            attempt.abort(AttemptEndReason.CANCELLED);
            return;
        }
        attempt.setTimeout(
                timer.schedule(
                        () -> attempt.abort(AttemptEndReason.TIMED_OUT),
                        startAttempt.timeoutNs(),
                        TimeUnit.NANOSECONDS));
        openRequest.sink.start(attempt);
    }

    /** Returns the time from which on the statement of a request must not be sent. */
    private long sendBeforeNs(OpenRequest openRequest) {
        QueryClass queryClass = classes.get(openRequest.request.queryClass());
        return openRequest.mayHaveRun && queryClass != null
                ? RepeatWindow.endNs(queryClass, openRequest.mayHaveRunSinceNs)
                : Long.MAX_VALUE;
    }

    /** Cancels an attempt. Ignores the action if the attempt is not in flight. */
    void cancel(CancelAttempt cancelAttempt) {
        OpenRequest openRequest = requests.get(cancelAttempt.id());
        if (openRequest != null
                && openRequest.attempt != null
                && openRequest.attempt.attemptNumber() == cancelAttempt.attempt()) {
            openRequest.attempt.abort(AttemptEndReason.CANCELLED);
        }
    }

    /** Handles the end of an attempt; runs on the thread that ended the attempt. */
    private void onEnd(OpenRequest openRequest, Attempt attempt, Attempt.AttemptEnd end) {
        if (end.answered()
                && end.outcome() != Outcome.SERVED
                && end.reason() != AttemptEndReason.STATEMENT_ERROR) {
            openRequest.sink.abortPartial(end.outcome());
        }
        thread.execute(() -> recordEnd(attempt, end));
    }

    private void recordEnd(Attempt attempt, Attempt.AttemptEnd end) {
        OpenRequest openRequest = requests.get(attempt.id());
        metrics.onAttemptEnded(attempt.engine(), end.outcome().name());
        if (openRequest == null || openRequest.attempt != attempt) {
            return;
        }
        if (end.outcome().mayHaveRun() && !openRequest.mayHaveRun) {
            openRequest.mayHaveRunSinceNs = attempt.startNs();
            openRequest.mayHaveRun = true;
        }
        if (end.answered()) {
            requests.tryClaimResponse(openRequest, completion(end.reason()));
        }
        openRequest.attempt = null;
        boolean requestOver = openRequest.isAnswered();
        requests.removeIfDone(openRequest);
        dispatcher.accept(
                new AttemptEnded(
                        attempt.id(),
                        attempt.attemptNumber(),
                        attempt.engine(),
                        end.outcome(),
                        clock.nowNs() - attempt.startNs(),
                        requestOver,
                        end.report().workMs(),
                        end.report().memoryMb(),
                        end.report().loadReport()));
    }

    private static RequestCompletion completion(AttemptEndReason reason) {
        if (reason == AttemptEndReason.SERVED) {
            return RequestCompletion.SERVED;
        }
        return reason == AttemptEndReason.STATEMENT_ERROR
                ? RequestCompletion.ERROR
                : RequestCompletion.INCOMPLETE;
    }
}
