package ashlink.router.core;

import ashlink.decisions.api.QueryClass;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the final responses that the decision module does not provide. Deadlines are kept on the
 * thread of the timer, so that a client receives its response in time however long the decision
 * thread is busy. Thread-safe; no method blocks.
 */
final class FallbackResponder {

    private static final Logger LOG = LoggerFactory.getLogger(FallbackResponder.class);
    private static final long LOG_INTERVAL_NS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, QueryClass> classes;
    private final CoreClock clock;
    private final ScheduledThreadPoolExecutor timer;
    private final OpenRequestTable requests;
    private final DelayMonitor.Stage delays;

    // Used only by the thread of the timer.
    private long lastLogNs = Long.MIN_VALUE;
    private long unloggedDeadlines;

    FallbackResponder(
            Map<String, QueryClass> classes,
            CoreClock clock,
            ScheduledThreadPoolExecutor timer,
            OpenRequestTable requests,
            DelayMonitor.Stage delays) {
        this.classes = classes;
        this.clock = clock;
        this.timer = timer;
        this.requests = requests;
        this.delays = delays;
    }

    /**
     * Responds to a request at its deadline, unless it has its final response before.
     *
     * @param onClaimed runs on the thread of the timer when this class is about to respond
     */
    void watchDeadline(OpenRequest openRequest, Runnable onClaimed) {
        openRequest.setDeadlineTimer(
                timer.schedule(
                        () -> onDeadline(openRequest, onClaimed),
                        openRequest.deadlineNs - clock.nowNs(),
                        TimeUnit.NANOSECONDS));
    }

    private void onDeadline(OpenRequest openRequest, Runnable onClaimed) {
        delays.recordSince(openRequest.deadlineNs);
        // Claims before it aborts: otherwise the end of the attempt could lead to a retry.
        if (requests.tryClaimResponse(openRequest, RequestCompletion.DEADLINE_EXCEEDED)) {
            onClaimed.run();
            abortAndRespond(openRequest, AttemptEndReason.TIMED_OUT);
            logDeadline(openRequest);
        }
    }

    /**
     * Aborts the attempt of a request whose final response the caller has claimed, and responds
     * unless the attempt has begun to.
     */
    void abortAndRespond(OpenRequest openRequest, AttemptEndReason reason) {
        Attempt attempt = openRequest.attempt;
        if (attempt != null) {
            attempt.abort(reason);
            if (attempt.phase() == AttemptPhase.ANSWERING) {
                // The end of the attempt completes the response.
                return;
            }
        }
        QueryClass queryClass = classes.get(openRequest.request.queryClass());
        if (FallbackResponse.mayReject(queryClass, openRequest.mayHaveRunOrRuns())) {
            openRequest.sink.reject(0);
        } else {
            openRequest.sink.fail();
        }
    }

    private void logDeadline(OpenRequest openRequest) {
        unloggedDeadlines++;
        long nowNs = clock.nowNs();
        if (lastLogNs != Long.MIN_VALUE && nowNs - lastLogNs < LOG_INTERVAL_NS) {
            return;
        }
        LOG.error(
                "deadline exceeded without a response request={} class={} requestsSinceLastLine={}",
                openRequest.id,
                openRequest.request.queryClass(),
                unloggedDeadlines);
        lastLogNs = nowNs;
        unloggedDeadlines = 0;
    }
}
