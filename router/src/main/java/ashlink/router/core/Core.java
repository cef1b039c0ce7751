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
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.ClientDisconnected;
import ashlink.decisions.api.Event.EndpointsChanged;
import ashlink.decisions.api.Event.HealthCheckCompleted;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.Event.TimerFired;
import ashlink.decisions.api.Outcome;
import ashlink.decisions.api.QueryClass;
import ashlink.decisions.api.WorkloadManager;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The thread that owns the decision module, and the requests that are open. Events come in through
 * one ordered queue; actions are carried out in the order in which the module gives them. Nothing
 * here waits for a socket.
 *
 * <p>The queue is bounded by admission: a request is taken only while fewer than {@code queueBound}
 * events wait and fewer than {@code openBound} requests are open; an open request has at most one
 * attempt out and an engine one probe, so each adds a fixed number of further events.
 */
public final class Core {

    private static final Logger LOG = LoggerFactory.getLogger(Core.class);

    /** A request without a final answer, or whose attempt is still out. */
    private static final class OpenRequest {
        final long id;
        final CoreRequest request;
        final ResponseSink sink;
        Attempt out;
        int attempts;
        boolean answered;
        boolean mayHaveRun;
        int priority = -1;
        long memoryMb;
        Future<?> overdue;

        OpenRequest(long id, CoreRequest request, ResponseSink sink) {
            this.id = id;
            this.request = request;
            this.sink = sink;
        }
    }

    private final WorkloadManager gateway;
    private final Map<String, QueryClass> classes;
    private final EngineTransport transport;
    private final CoreClock clock;
    private final int queueBound;
    private final int openBound;
    private final RequestMetrics metrics;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final ScheduledThreadPoolExecutor timer;
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final AtomicInteger openCount = new AtomicInteger();
    private final AtomicLong ids = new AtomicLong();
    private final Thread thread;
    private volatile Observer observer = (e, now, a) -> {};
    private volatile boolean taking = true;
    private volatile boolean refusing;
    private volatile boolean stopped;

    /** A core that is not started; {@code classes} are those of the module's settings, by name. */
    public Core(
            String name,
            WorkloadManager gateway,
            Map<String, QueryClass> classes,
            EngineTransport transport,
            CoreClock clock,
            int queueBound,
            int openBound,
            RequestMetrics metrics) {
        this.gateway = gateway;
        this.classes = Map.copyOf(classes);
        this.transport = transport;
        this.clock = clock;
        this.queueBound = queueBound;
        this.openBound = openBound;
        this.metrics = metrics;
        metrics.registerGauges(queue::size, openCount::get);
        this.thread = new Thread(this::run, name + "-decisions");
        thread.setDaemon(true);
        timer =
                new ScheduledThreadPoolExecutor(
                        1,
                        task -> {
                            Thread t = new Thread(task, name + "-timer");
                            t.setDaemon(true);
                            return t;
                        });
        timer.setRemoveOnCancelPolicy(true);
    }

    /** Starts deciding. */
    public void start() {
        thread.start();
    }

    /** Sees all that the module is told and does. */
    @FunctionalInterface
    public interface Observer {
        /**
         * The module was told an event at that time, and did that; called on the decision thread,
         * and must not wait.
         */
        void onDecision(Event event, long nowNs, List<Action> actions);
    }

    /** Shows each event and what the module did upon it, in order. */
    public void observe(Observer o) {
        observer = o;
    }

    /** Events that wait for a decision. */
    public int queued() {
        return queue.size();
    }

    /** Requests without a final answer. */
    public int openRequests() {
        return openCount.get();
    }

    // ---- What happens: any thread
    /**
     * Takes a request and owes it one final answer; returns its number. A negative number is a
     * request turned away at the door, of which the module never heard: the caller refuses it.
     */
    public long submit(CoreRequest request, ResponseSink sink) {
        if (!taking || refusing || queue.size() >= queueBound) {
            metrics.onAnswered(request.queryClass(), "turned away");
            return -1;
        }
        if (openCount.incrementAndGet() > openBound) {
            openCount.decrementAndGet();
            metrics.onAnswered(request.queryClass(), "turned away");
            return -1;
        }
        long id = ids.incrementAndGet();
        long deadlineNs = clock.nowNs() + request.timeLimitNs();
        queue.add(() -> take(new OpenRequest(id, request, sink), deadlineNs));
        return id;
    }

    /** The client no longer waits; nothing more goes to the sink but attempts' ends. */
    public void clientGone(long id) {
        queue.add(
                () -> {
                    OpenRequest openRequest = open.get(id);
                    if (openRequest != null && !openRequest.answered) {
                        answered(openRequest, "client gone");
                        hand(new ClientDisconnected(id));
                    }
                });
    }

    /** News of the list of engines. */
    public void announce(EndpointsChanged news) {
        queue.add(() -> hand(news));
    }

    private void attemptEnded(Attempt attempt, Attempt.AttemptEnd end) {
        queue.add(() -> ended(attempt, end));
    }

    // ---- The decision thread
    private void run() {
        while (!stopped) {
            try {
                queue.take().run();
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException
                    | Error e) { // a dead decision thread would leave a router that only looks
                // alive
                LOG.error("the decision thread goes on after an error", e);
            }
        }
    }

    private void take(OpenRequest openRequest, long deadlineNs) {
        open.put(openRequest.id, openRequest);
        metrics.onAdmitted(openRequest.request.queryClass());
        openRequest.overdue =
                timer.schedule(
                        () -> queue.add(() -> overdue(openRequest)),
                        deadlineNs - clock.nowNs(),
                        TimeUnit.NANOSECONDS);
        CoreRequest coreRequest = openRequest.request;
        if (!hand(
                        new QuerySubmitted(
                                openRequest.id,
                                coreRequest.queryClass(),
                                coreRequest.key(),
                                coreRequest.tableGroup(),
                                deadlineNs,
                                coreRequest.estimatedWorkNs(),
                                coreRequest.estimatedMemoryMb(),
                                coreRequest.tenant()))
                && !openRequest.answered) {
            lastResort(openRequest, "module error");
        }
    }

    /** Hands an event to the module and does what it decides; false if it threw. */
    private boolean hand(Event event) {
        List<Action> actions;
        long now = clock.nowNs();
        try {
            actions = gateway.onEvent(event, now);
        } catch (RuntimeException e) {
            metrics.onDecisionError();
            LOG.error("the decision module threw on {}", event, e);
            return false;
        }
        observer.onDecision(event, now, actions);
        for (Action action : actions) {
            perform(action);
        }
        return true;
    }

    private void perform(Action action) {
        if (action instanceof StartAttempt startAttempt) {
            send(startAttempt);
        } else if (action instanceof SetAttemptResources resources
                && open.containsKey(resources.id())) {
            open.get(resources.id()).priority = resources.priority();
            open.get(resources.id()).memoryMb = resources.memoryMb();
        } else if (action instanceof Reject reject && isOwed(reject.id())) {
            OpenRequest openRequest = open.get(reject.id());
            answered(openRequest, "refused");
            openRequest.sink.reject(reject.retryAfterNs());
        } else if (action instanceof Fail fail && isOwed(fail.id())) {
            OpenRequest openRequest = open.get(fail.id());
            answered(openRequest, "failed");
            openRequest.sink.fail();
        } else if (action instanceof CancelAttempt cancelAttempt) {
            OpenRequest openRequest = open.get(cancelAttempt.id());
            if (openRequest != null
                    && openRequest.out != null
                    && openRequest.out.attemptNumber() == cancelAttempt.attempt()) {
                openRequest.out.abort(AttemptEndReason.CANCELLED);
            }
        } else if (action instanceof CheckHealth checkHealth) {
            probe(checkHealth.engine());
        } else if (action instanceof SetTimer setTimer) {
            timer.schedule(
                    () -> queue.add(() -> hand(new TimerFired(setTimer.label()))),
                    setTimer.timeNs() - clock.nowNs(),
                    TimeUnit.NANOSECONDS);
        } else if (action instanceof Log log) {
            LOG.warn("{}", log.text());
        }
    }

    private boolean isOwed(long id) {
        return open.containsKey(id) && !open.get(id).answered;
    }

    private void send(StartAttempt startAttempt) {
        OpenRequest openRequest = open.get(startAttempt.id());
        if (openRequest == null || openRequest.answered || openRequest.out != null) {
            LOG.error(
                    "the decision module sent request {}, which is {}",
                    startAttempt.id(),
                    openRequest == null
                            ? "not open"
                            : openRequest.answered ? "answered" : "out already");
            return;
        }
        Attempt a =
                new Attempt(
                        openRequest.id,
                        openRequest.attempts++,
                        startAttempt.engine(),
                        clock.nowNs(),
                        openRequest.priority,
                        openRequest.memoryMb,
                        (attempt, end) -> {
                            if (end.answered()
                                    && end.outcome() != Outcome.SERVED
                                    && end.reason() != AttemptEndReason.STATEMENT_ERROR) {
                                openRequest.sink.abortPartial(end.outcome());
                            }
                            attemptEnded(attempt, end);
                        });
        openRequest.out = a;
        a.timer(
                timer.schedule(
                        () -> a.abort(AttemptEndReason.TIMED_OUT),
                        startAttempt.timeoutNs(),
                        TimeUnit.NANOSECONDS));
        openRequest.sink.start(a);
    }

    private void ended(Attempt attempt, Attempt.AttemptEnd end) {
        OpenRequest openRequest = open.get(attempt.id());
        metrics.onAttemptEnded(attempt.engine(), end.outcome().name());
        if (openRequest == null || openRequest.out != attempt) {
            return;
        }
        openRequest.out = null;
        openRequest.mayHaveRun |= end.outcome().mayHaveRun();
        boolean over = end.answered() || openRequest.answered;
        if (!openRequest.answered && end.answered()) {
            answered(
                    openRequest,
                    end.reason() == AttemptEndReason.SERVED
                            ? "served"
                            : end.reason() == AttemptEndReason.STATEMENT_ERROR
                                    ? "error"
                                    : "broken");
        }
        if (openRequest.answered) {
            open.remove(openRequest.id);
        }
        hand(
                new AttemptEnded(
                        attempt.id(),
                        attempt.attemptNumber(),
                        attempt.engine(),
                        end.outcome(),
                        clock.nowNs() - attempt.startNs(),
                        over,
                        end.report().workMs(),
                        end.report().memoryMb(),
                        end.report().loadReport()));
    }

    private void probe(String engine) {
        long from = clock.nowNs();
        transport.checkHealth(
                engine,
                (outcome, report) ->
                        queue.add(
                                () ->
                                        hand(
                                                new HealthCheckCompleted(
                                                        engine,
                                                        outcome,
                                                        clock.nowNs() - from,
                                                        report))));
    }

    private void answered(OpenRequest openRequest, String how) {
        openRequest.answered = true;
        openRequest.overdue.cancel(false);
        openCount.decrementAndGet();
        metrics.onAnswered(openRequest.request.queryClass(), how);
        if (openRequest.out == null) {
            open.remove(openRequest.id);
        }
    }

    /**
     * Guards against a module that forgets a request: the answer comes before the client gives up
     * all the same.
     */
    private void overdue(OpenRequest openRequest) {
        if (!openRequest.answered) {
            if (openRequest.out != null) {
                openRequest.out.abort(
                        AttemptEndReason
                                .TIMED_OUT); // its end, which waits in the queue, is told first
                // where it answers
                if (openRequest.out.phase() == AttemptPhase.ANSWERING) {
                    return;
                }
            }
            LOG.error(
                    "request {} of class {} is overdue",
                    openRequest.id,
                    openRequest.request.queryClass());
            lastResort(openRequest, "overdue");
        }
    }

    private void lastResort(OpenRequest openRequest, String how) {
        boolean maybe =
                openRequest.mayHaveRun
                        || openRequest.out != null && openRequest.out.phase().mayRun();
        answered(openRequest, how);
        if (FallbackResponse.refuse(classes.get(openRequest.request.queryClass()), maybe)) {
            openRequest.sink.reject(0);
        } else {
            openRequest.sink.fail();
        }
        hand(new ClientDisconnected(openRequest.id));
    }

    // ---- Stop
    /** Turns fresh requests away, or takes them again; what is open goes on. */
    public void rejectNew(boolean refuses) {
        refusing = refuses;
    }

    /** Takes nothing more, lets what is open finish for that time, and answers the rest. */
    public void drain(long mostNs) throws InterruptedException {
        taking = false;
        long until = clock.nowNs() + mostNs;
        while (openCount.get() > 0 && clock.nowNs() < until) {
            Thread.sleep(5);
        }
        queue.add(
                () ->
                        new ArrayList<>(open.values())
                                .stream()
                                        .filter(openRequest -> !openRequest.answered)
                                        .forEach(
                                                openRequest -> {
                                                    if (openRequest.out != null) {
                                                        openRequest.out.abort(
                                                                AttemptEndReason.CANCELLED);
                                                    }
                                                    if (openRequest.out == null
                                                            || openRequest.out.phase()
                                                                    != AttemptPhase.ANSWERING) {
                                                        lastResort(openRequest, "stopped");
                                                    }
                                                }));
        long grace = clock.nowNs() + TimeUnit.SECONDS.toNanos(1);
        while (openCount.get() > 0 && clock.nowNs() < grace) {
            Thread.sleep(5);
        }
    }

    /** Ends at once, as a crash would: nothing is answered. */
    public void kill() {
        taking = false;
        stopped = true;
        thread.interrupt();
        timer.shutdownNow();
    }
}
