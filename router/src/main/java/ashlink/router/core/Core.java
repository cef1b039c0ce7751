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
                        r -> {
                            Thread t = new Thread(r, name + "-timer");
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
                    OpenRequest o = open.get(id);
                    if (o != null && !o.answered) {
                        answered(o, "client gone");
                        hand(new ClientDisconnected(id));
                    }
                });
    }

    /** News of the list of engines. */
    public void announce(EndpointsChanged news) {
        queue.add(() -> hand(news));
    }

    private void attemptEnded(Attempt a, Attempt.AttemptEnd end) {
        queue.add(() -> ended(a, end));
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

    private void take(OpenRequest o, long deadlineNs) {
        open.put(o.id, o);
        metrics.onAdmitted(o.request.queryClass());
        o.overdue =
                timer.schedule(
                        () -> queue.add(() -> overdue(o)),
                        deadlineNs - clock.nowNs(),
                        TimeUnit.NANOSECONDS);
        CoreRequest r = o.request;
        if (!hand(
                        new QuerySubmitted(
                                o.id,
                                r.queryClass(),
                                r.key(),
                                r.tableGroup(),
                                deadlineNs,
                                r.estimatedWorkNs(),
                                r.estimatedMemoryMb(),
                                r.tenant()))
                && !o.answered) {
            lastResort(o, "module error");
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
        for (Action a : actions) {
            perform(a);
        }
        return true;
    }

    private void perform(Action action) {
        if (action instanceof StartAttempt a) {
            send(a);
        } else if (action instanceof SetAttemptResources a && open.containsKey(a.id())) {
            open.get(a.id()).priority = a.priority();
            open.get(a.id()).memoryMb = a.memoryMb();
        } else if (action instanceof Reject a && isOwed(a.id())) {
            OpenRequest o = open.get(a.id());
            answered(o, "refused");
            o.sink.reject(a.retryAfterNs());
        } else if (action instanceof Fail a && isOwed(a.id())) {
            OpenRequest o = open.get(a.id());
            answered(o, "failed");
            o.sink.fail();
        } else if (action instanceof CancelAttempt a) {
            OpenRequest o = open.get(a.id());
            if (o != null && o.out != null && o.out.attemptNumber() == a.attempt()) {
                o.out.abort(AttemptEndReason.CANCELLED);
            }
        } else if (action instanceof CheckHealth a) {
            probe(a.engine());
        } else if (action instanceof SetTimer a) {
            timer.schedule(
                    () -> queue.add(() -> hand(new TimerFired(a.label()))),
                    a.timeNs() - clock.nowNs(),
                    TimeUnit.NANOSECONDS);
        } else if (action instanceof Log a) {
            LOG.warn("{}", a.text());
        }
    }

    private boolean isOwed(long id) {
        return open.containsKey(id) && !open.get(id).answered;
    }

    private void send(StartAttempt s) {
        OpenRequest o = open.get(s.id());
        if (o == null || o.answered || o.out != null) {
            LOG.error(
                    "the decision module sent request {}, which is {}",
                    s.id(),
                    o == null ? "not open" : o.answered ? "answered" : "out already");
            return;
        }
        Attempt a =
                new Attempt(
                        o.id,
                        o.attempts++,
                        s.engine(),
                        clock.nowNs(),
                        o.priority,
                        o.memoryMb,
                        (attempt, end) -> {
                            if (end.answered()
                                    && end.outcome() != Outcome.SERVED
                                    && end.reason() != AttemptEndReason.STATEMENT_ERROR) {
                                o.sink.abortPartial(end.outcome());
                            }
                            attemptEnded(attempt, end);
                        });
        o.out = a;
        a.timer(
                timer.schedule(
                        () -> a.abort(AttemptEndReason.TIMED_OUT),
                        s.timeoutNs(),
                        TimeUnit.NANOSECONDS));
        o.sink.start(a);
    }

    private void ended(Attempt a, Attempt.AttemptEnd end) {
        OpenRequest o = open.get(a.id());
        metrics.onAttemptEnded(a.engine(), end.outcome().name());
        if (o == null || o.out != a) {
            return;
        }
        o.out = null;
        o.mayHaveRun |= end.outcome().mayHaveRun();
        boolean over = end.answered() || o.answered;
        if (!o.answered && end.answered()) {
            answered(
                    o,
                    end.reason() == AttemptEndReason.SERVED
                            ? "served"
                            : end.reason() == AttemptEndReason.STATEMENT_ERROR
                                    ? "error"
                                    : "broken");
        }
        if (o.answered) {
            open.remove(o.id);
        }
        hand(
                new AttemptEnded(
                        a.id(),
                        a.attemptNumber(),
                        a.engine(),
                        end.outcome(),
                        clock.nowNs() - a.startNs(),
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

    private void answered(OpenRequest o, String how) {
        o.answered = true;
        o.overdue.cancel(false);
        openCount.decrementAndGet();
        metrics.onAnswered(o.request.queryClass(), how);
        if (o.out == null) {
            open.remove(o.id);
        }
    }

    /**
     * Guards against a module that forgets a request: the answer comes before the client gives up
     * all the same.
     */
    private void overdue(OpenRequest o) {
        if (!o.answered) {
            if (o.out != null) {
                o.out.abort(
                        AttemptEndReason
                                .TIMED_OUT); // its end, which waits in the queue, is told first
                // where it answers
                if (o.out.phase() == AttemptPhase.ANSWERING) {
                    return;
                }
            }
            LOG.error("request {} of class {} is overdue", o.id, o.request.queryClass());
            lastResort(o, "overdue");
        }
    }

    private void lastResort(OpenRequest o, String how) {
        boolean maybe = o.mayHaveRun || o.out != null && o.out.phase().mayRun();
        answered(o, how);
        if (FallbackResponse.refuse(classes.get(o.request.queryClass()), maybe)) {
            o.sink.reject(0);
        } else {
            o.sink.fail();
        }
        hand(new ClientDisconnected(o.id));
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
                                        .filter(o -> !o.answered)
                                        .forEach(
                                                o -> {
                                                    if (o.out != null) {
                                                        o.out.abort(AttemptEndReason.CANCELLED);
                                                    }
                                                    if (o.out == null
                                                            || o.out.phase()
                                                                    != AttemptPhase.ANSWERING) {
                                                        lastResort(o, "stopped");
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
