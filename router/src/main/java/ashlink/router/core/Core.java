package ashlink.router.core;

import ashlink.decisions.api.Action;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.WorkloadManager;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Admits requests to the decision module and closes them at shutdown. Events reach the decision
 * module through one ordered queue: {@link DecisionThread} processes the queue, and {@link
 * DecisionDispatcher} performs the actions of the decision module. Only {@link #drain} blocks; all
 * methods may be called on any thread.
 *
 * <p>Admission bounds the queue ({@link AdmissionLimits}). A request has at most one attempt in
 * flight and an engine has at most one health check in flight, so each of them adds a fixed number
 * of further events.
 */
public final class Core {

    /** Result of {@link #submit} for a request that was not admitted. */
    private static final long NOT_ADMITTED = -1;

    private static final long DRAIN_POLL_MS = 5;

    /** Time for the final responses of a drain to pass through the event queue. */
    private static final long DRAIN_RESPONSE_TIMEOUT_NS = TimeUnit.SECONDS.toNanos(1);

    /** Receives each event that the decision module processed, and the resulting actions. */
    @FunctionalInterface
    public interface Observer {
        /**
         * Handles one decision. This method is called on the decision thread after each event,
         * before the actions are performed, and must not block.
         *
         * @param nowNs time of the event on the clock of the core
         */
        void onDecision(Event event, long nowNs, List<Action> actions);
    }

    private final CoreClock clock;
    private final AdmissionLimits limits;
    private final RequestMetrics metrics;
    private final DecisionThread decisionThread;
    private final ScheduledThreadPoolExecutor timer;
    private final OpenRequestTable requests;
    private final FallbackResponder responder;
    private final DecisionDispatcher dispatcher;
    private final AtomicLong lastRequestId = new AtomicLong();
    private volatile boolean accepting = true;
    private volatile boolean rejectingNew;

    /**
     * Creates a core, which processes no events until {@link #start}.
     *
     * @param name prefix of the thread names
     * @param classes query classes of the settings, by name
     * @param delays receives the times that events wait for the decision thread
     */
    public Core(
            String name,
            WorkloadManager workloadManager,
            Map<String, QueryClass> classes,
            EngineTransport transport,
            CoreClock clock,
            AdmissionLimits limits,
            RequestMetrics metrics,
            DelayMonitor delays) {
        this.clock = clock;
        this.limits = limits;
        this.metrics = metrics;
        requests = new OpenRequestTable(metrics);
        decisionThread = new DecisionThread(name + "-decisions", delays.stage("decision"));
        metrics.registerGauges(decisionThread::queuedTasks, requests::unansweredCount);
        timer = DaemonTimer.create(name + "-timer");
        Map<String, QueryClass> classesByName = Map.copyOf(classes);
        responder =
                new FallbackResponder(
                        classesByName, clock, timer, requests, delays.stage("deadline"));
        dispatcher =
                new DecisionDispatcher(
                        workloadManager,
                        classesByName,
                        transport,
                        clock,
                        decisionThread,
                        timer,
                        requests,
                        metrics,
                        responder);
    }

    /** Starts the decision thread. */
    public void start() {
        decisionThread.start();
    }

    /** Sets the observer of all decisions. */
    public void observe(Observer observer) {
        dispatcher.observe(observer);
    }

    /** Returns the number of events that wait for the decision thread. */
    public int queuedEvents() {
        return decisionThread.queuedTasks();
    }

    /** Returns the number of requests without a final response. */
    public int openRequests() {
        return requests.unansweredCount();
    }

    /**
     * Submits a request of a source of its own.
     *
     * @see #submit(RequestSource, CoreRequest, ResponseSink)
     */
    public long submit(CoreRequest request, ResponseSink sink) {
        return submit(new RequestSource(), request, sink);
    }

    /**
     * Submits a request. If the request is admitted, the sink receives exactly one final response,
     * unless the client disconnects.
     *
     * @param source the peer that submits the request
     * @return the number of the request, or a negative number if the request was not admitted; the
     *     caller then rejects the request
     */
    public long submit(RequestSource source, CoreRequest request, ResponseSink sink) {
        if (!accepting
                || rejectingNew
                || isQueueFull() && source.unansweredCount() > 0
                || !requests.tryReserve(source, limits)) {
            metrics.onCompleted(request.queryClass(), RequestCompletion.NOT_ADMITTED);
            return NOT_ADMITTED;
        }
        long id = lastRequestId.incrementAndGet();
        OpenRequest openRequest =
                new OpenRequest(id, source, request, sink, clock.nowNs() + request.timeLimitNs());
        requests.add(openRequest);
        openRequest.submission =
                decisionThread.submit(source, request.key(), () -> dispatcher.submit(openRequest));
        responder.watchDeadline(openRequest, () -> withdraw(openRequest));
        return id;
    }

    /**
     * Handles a client that disconnected or cancelled its request. A request that was not decided
     * yet costs the decision thread nothing. After this call, the sink receives no final response
     * but one that is just being sent.
     */
    public void clientDisconnected(long id) {
        OpenRequest openRequest =
                requests.tryClaimResponse(id, RequestCompletion.CLIENT_DISCONNECTED);
        if (openRequest != null) {
            withdraw(openRequest);
        }
    }

    private boolean isQueueFull() {
        return decisionThread.queuedTasks() >= limits.maxQueuedEvents();
    }

    /** Takes a request that has its final response from the queue or the decision module. */
    private void withdraw(OpenRequest openRequest) {
        QueuedTask submission = openRequest.submission;
        if (submission != null && decisionThread.withdraw(submission)) {
            requests.removeIfDone(openRequest);
        } else {
            decisionThread.execute(() -> dispatcher.forget(openRequest));
        }
    }

    /** Passes a change of the endpoint list to the decision module. */
    public void updateEndpoints(EndpointsChanged change) {
        updateEndpoints(change, () -> {});
    }

    /**
     * Passes a change of the endpoint list to the decision module.
     *
     * @param onApplied runs on the decision thread when the change is applied, and must not block
     */
    public void updateEndpoints(EndpointsChanged change, Runnable onApplied) {
        decisionThread.execute(
                () -> {
                    try {
                        dispatcher.dispatch(change);
                    } finally {
                        onApplied.run();
                    }
                });
    }

    // Shutdown

    /** Sets whether new requests are rejected. Open requests are not affected. */
    public void rejectNew(boolean rejected) {
        rejectingNew = rejected;
    }

    /**
     * Stops admitting requests, waits for open requests to complete, and sends a final response for
     * those that have not completed in time.
     *
     * @param timeoutNs maximum time to wait for open requests
     */
    public void drain(long timeoutNs) throws InterruptedException {
        accepting = false;
        awaitAnswered(clock.nowNs() + timeoutNs);
        decisionThread.execute(dispatcher::respondToAll);
        awaitAnswered(clock.nowNs() + DRAIN_RESPONSE_TIMEOUT_NS);
    }

    private void awaitAnswered(long deadlineNs) throws InterruptedException {
        while (requests.unansweredCount() > 0 && clock.nowNs() < deadlineNs) {
            Thread.sleep(DRAIN_POLL_MS);
        }
    }

    /** Stops immediately, like a crash of the process: open requests receive no response. */
    public void kill() {
        accepting = false;
        decisionThread.stop();
        timer.shutdownNow();
    }
}
