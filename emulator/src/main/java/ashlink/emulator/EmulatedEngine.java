package ashlink.emulator;

import ashlink.config.EngineConfig;
import ashlink.emulator.model.EngineModel;
import ashlink.emulator.model.Job;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Emulated engine: a listener, a thread per connection, and a model that determines how long
 * statements take. Faults are set with {@link #faults}. The port stays the same after {@link
 * #crash} and {@link #restart}.
 */
public final class EmulatedEngine {

    private static final double NS_PER_MS = 1e6;
    private static final long STACK_BYTES = 256 << 10;
    private static final double WARM_UPTIME_MS = 1e9;

    private final EngineConfig config;
    private final Ledger ledger;
    private final FaultInjection faults = new FaultInjection();
    private final UniformRandomProvider random;
    private final Map<Job, Runnable> completionCallbacks = new HashMap<>();
    private final List<Job> completedJobs = new ArrayList<>();
    private final Set<SocketChannel> connections = ConcurrentHashMap.newKeySet();
    private EngineModel model;
    private ServerSocketChannel listener;
    private InetSocketAddress address;
    private Thread modelThread;
    private int incarnation;
    private boolean down = true;

    /** Creates an engine without starting it. */
    public EmulatedEngine(EngineConfig config) throws IOException {
        this.config = config;
        this.ledger = new Ledger(config.ledger());
        this.random =
                RandomSource.XO_RO_SHI_RO_128_PP.create(config.seed() ^ config.name().hashCode());
    }

    /** Starts the engine as if it had been running for a long time, so that it is warm. */
    public void start() throws IOException {
        startAt(nowMs() - WARM_UPTIME_MS);
    }

    /** Starts the engine after a crash, so that it is cold. */
    public void restart() throws IOException {
        startAt(nowMs());
    }

    private synchronized void startAt(double startedMs) throws IOException {
        if (!down) {
            throw new IllegalStateException("engine " + config.name() + " is already running");
        }
        ServerSocketChannel channel =
                EngineSockets.listen(address == null ? config.listen() : address);
        address = (InetSocketAddress) channel.getLocalAddress();
        listener = channel;
        model = new EngineModel(config, startedMs, nowMs());
        down = false;
        incarnation++;
        int ownIncarnation = incarnation;
        startThread(config.name() + "-accept", () -> acceptConnections(channel));
        modelThread = startThread(config.name() + "-model", () -> runModel(ownIncarnation));
    }

    private static Thread startThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /**
     * Simulates a crash: resets all connections, discards the work, and refuses new connections
     * until {@link #restart}.
     */
    public void crash() {
        List<Runnable> callbacks;
        synchronized (this) {
            if (down) {
                return;
            }
            down = true;
            incarnation++;
            callbacks = new ArrayList<>(completionCallbacks.values());
            completionCallbacks.clear();
            completedJobs.clear();
            notifyAll();
        }
        try {
            listener.close();
        } catch (IOException e) {
            // The channel is closed even if close() throws.
        }
        connections.forEach(EngineSockets::reset);
        callbacks.forEach(Runnable::run);
    }

    private void acceptConnections(ServerSocketChannel acceptor) {
        while (acceptor.isOpen()) {
            try {
                SocketChannel socketChannel = acceptor.accept();
                socketChannel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                connections.add(socketChannel);
                startThread(
                        config.name() + "-session",
                        () -> {
                            try {
                                new EngineSession(this, socketChannel).run();
                            } finally {
                                connections.remove(socketChannel);
                            }
                        });
            } catch (IOException e) {
                if (acceptor.isOpen()) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    // ---- Model
    static double nowMs() {
        return System.nanoTime() / NS_PER_MS;
    }

    private void runModel(int ownIncarnation) {
        while (true) {
            List<Runnable> callbacks = new ArrayList<>();
            synchronized (this) {
                if (incarnation != ownIncarnation) {
                    return;
                }
                advanceModel();
                List<Job> done = List.copyOf(completedJobs);
                completedJobs.clear();
                for (Job job : done) {
                    Runnable callback = completionCallbacks.remove(job);
                    if (callback != null) {
                        callbacks.add(callback);
                    }
                }
                if (callbacks.isEmpty()) {
                    double waitMs = Math.min(1000, model.nextChangeMs());
                    try {
                        long waitNs = (long) (waitMs * NS_PER_MS);
                        wait(waitNs / 1_000_000, (int) (waitNs % 1_000_000));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
            callbacks.forEach(Runnable::run);
        }
    }

    /**
     * Submits a job. {@code onCompletion} runs when the job is done or the engine crashes. Returns
     * null if the engine is down or has its maximum number of jobs.
     */
    synchronized Job submit(Job.Demand demand, Runnable onCompletion) {
        if (down || model.activeJobs() >= config.maxSessions()) {
            return null;
        }
        advanceModel();
        Job job = model.submit(demand);
        completionCallbacks.put(job, onCompletion);
        notifyAll();
        return job;
    }

    /** Advances the model to the current time; the model thread then reports the completed jobs. */
    private void advanceModel() {
        completedJobs.addAll(model.advance(nowMs()));
    }

    synchronized void cancel(Job job) {
        advanceModel();
        model.cancel(job);
        completionCallbacks.remove(job);
        notifyAll();
    }

    // ---- Faults
    /** Returns the faults of the engine's connections. */
    public FaultInjection faults() {
        return faults;
    }

    /** Sets the speed as a multiple of the configured speed. */
    public synchronized void speed(double multiple) {
        advanceModel();
        model.setSpeed(multiple);
        notifyAll();
    }

    /** Starts or ends a hang: work is accepted but not executed, and nothing is sent. */
    public synchronized void hang(boolean hung) {
        advanceModel();
        faults.hang(hung);
        model.setPaused(hung);
        notifyAll();
    }

    // ---- State
    /** Returns the settings. */
    public EngineConfig config() {
        return config;
    }

    /** Returns the listen address; null before the first start. */
    public synchronized InetSocketAddress address() {
        return address;
    }

    /** Returns the record of the statements that the engine received. */
    public Ledger ledger() {
        return ledger;
    }

    /** Returns true if the engine collapsed because it was overloaded while it was cold. */
    public synchronized boolean hasCollapsed() {
        return model.hasCollapsed();
    }

    /** Returns true before the first start and after a crash. */
    public synchronized boolean isDown() {
        return down;
    }

    /** Returns the gauges by name. */
    synchronized Map<String, Double> gauges() {
        advanceModel();
        if (!completedJobs.isEmpty()) {
            notifyAll();
        }
        return Map.of(
                "QueriesWaiting",
                (double) model.jobsWaitingForMemory(),
                "CoresBusy",
                model.busyCoreFraction(),
                "MemoryGranted",
                model.grantedMemoryFraction(),
                "DisksBusy",
                model.busyDiskFraction(),
                "QueriesInHand",
                (double) model.activeJobs(),
                "Uptime",
                model.uptimeMs() / 1000);
    }

    synchronized double nextRandom() {
        return random.nextDouble();
    }
}
