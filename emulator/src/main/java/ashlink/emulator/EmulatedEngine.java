package ashlink.emulator;

import ashlink.config.EngineConfig;
import ashlink.emulator.model.EngineModel;
import ashlink.emulator.model.Job;
import java.io.IOException;
import java.net.BindException;
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

    private static final double MS = 1e6;
    private static final int BACKLOG = 1024;
    private static final long REBIND_NS = 2_000_000_000L;
    private static final long STACK_BYTES = 256 << 10;
    private static final double LONG_AGO_MS = 1e9;

    private final EngineConfig config;
    private final Ledger ledger;
    private final FaultInjection faults = new FaultInjection();
    private final UniformRandomProvider random;
    private final Map<Job, Runnable> doneHooks = new HashMap<>();
    private final List<Job> late = new ArrayList<>();
    private final Set<SocketChannel> sockets = ConcurrentHashMap.newKeySet();
    private EngineModel model;
    private ServerSocketChannel server;
    private InetSocketAddress address;
    private Thread ticker;
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
        begin(nowMs() - LONG_AGO_MS);
    }

    /** Starts the engine after a crash, so that it is cold. */
    public void restart() throws IOException {
        begin(nowMs());
    }

    private synchronized void begin(double startedMs) throws IOException {
        if (!down) {
            throw new IllegalStateException("engine " + config.name() + " is already running");
        }
        ServerSocketChannel channel = bind(address == null ? config.listen() : address);
        address = (InetSocketAddress) channel.getLocalAddress();
        server = channel;
        model = new EngineModel(config, startedMs, nowMs());
        down = false;
        incarnation++;
        int mine = incarnation;
        thread(config.name() + "-accept", () -> accept(channel));
        ticker = thread(config.name() + "-model", () -> tick(mine));
    }

    /**
     * Opens a listener. Retries for a while if the address is in use, because the port of a closed
     * listener is released only when its accept thread has returned.
     */
    private static ServerSocketChannel bind(InetSocketAddress to) throws IOException {
        long until = System.nanoTime() + REBIND_NS;
        while (true) {
            ServerSocketChannel channel = ServerSocketChannel.open();
            try {
                channel.setOption(java.net.StandardSocketOptions.SO_REUSEADDR, true);
                channel.bind(to, BACKLOG);
                return channel;
            } catch (BindException e) {
                channel.close();
                if (System.nanoTime() > until) {
                    throw e;
                }
                Thread.onSpinWait();
            }
        }
    }

    private static Thread thread(String name, Runnable task) {
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
        List<Runnable> hooks;
        synchronized (this) {
            if (down) {
                return;
            }
            down = true;
            incarnation++;
            hooks = new ArrayList<>(doneHooks.values());
            doneHooks.clear();
            late.clear();
            notifyAll();
        }
        try {
            server.close();
        } catch (IOException e) {
            // The channel is closed even if close() throws.
        }
        sockets.forEach(EmulatedEngine::close);
        hooks.forEach(Runnable::run);
    }

    private static void close(SocketChannel socketChannel) {
        try {
            socketChannel.setOption(
                    java.net.StandardSocketOptions.SO_LINGER,
                    0); // close() sends a reset, as when a process dies
            socketChannel.close();
        } catch (IOException e) {
            // The channel is closed even if close() throws.
        }
    }

    private void accept(ServerSocketChannel from) {
        while (from.isOpen()) {
            try {
                SocketChannel socketChannel = from.accept();
                socketChannel.setOption(java.net.StandardSocketOptions.TCP_NODELAY, true);
                sockets.add(socketChannel);
                thread(
                        config.name() + "-session",
                        () -> {
                            try {
                                new EngineSession(this, socketChannel).run();
                            } finally {
                                sockets.remove(socketChannel);
                            }
                        });
            } catch (IOException e) {
                if (from.isOpen()) {
                    Thread.onSpinWait();
                }
            }
        }
    }

    // ---- Model
    static double nowMs() {
        return System.nanoTime() / MS;
    }

    private void tick(int mine) {
        while (true) {
            List<Runnable> hooks = new ArrayList<>();
            synchronized (this) {
                if (incarnation != mine) {
                    return;
                }
                catchUp();
                List<Job> done = List.copyOf(late);
                late.clear();
                for (Job job : done) {
                    Runnable hook = doneHooks.remove(job);
                    if (hook != null) {
                        hooks.add(hook);
                    }
                }
                if (hooks.isEmpty()) {
                    double wait = Math.min(1000, model.nextChangeMs());
                    try {
                        long ns = (long) (wait * MS);
                        wait(ns / 1_000_000, (int) (ns % 1_000_000));
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
            hooks.forEach(Runnable::run);
        }
    }

    /**
     * Submits a job. {@code done} runs when the job is done or the engine crashes. Returns null if
     * the engine is down or has its maximum number of jobs.
     */
    synchronized Job submit(Job.Demand demand, Runnable done) {
        if (down || model.inHand() >= config.maxSessions()) {
            return null;
        }
        catchUp();
        Job job = model.submit(demand);
        doneHooks.put(job, done);
        notifyAll();
        return job;
    }

    /** Advances the model to the current time; the model thread then reports the completed jobs. */
    private void catchUp() {
        late.addAll(model.advance(nowMs()));
    }

    synchronized void drop(Job job) {
        catchUp();
        model.drop(job);
        doneHooks.remove(job);
        notifyAll();
    }

    // ---- Faults
    /** Returns the faults of the engine's connections. */
    public FaultInjection faults() {
        return faults;
    }

    /** Sets the speed as a multiple of the configured speed. */
    public synchronized void speed(double multiple) {
        catchUp();
        model.speed(multiple);
        notifyAll();
    }

    /** Starts or ends a hang: work is accepted but not executed, and nothing is sent. */
    public synchronized void hang(boolean hangs) {
        catchUp();
        faults.hang(hangs);
        model.paused(hangs);
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
    public synchronized boolean hasFallen() {
        return model.hasFallen();
    }

    /** Returns true before the first start and after a crash. */
    public synchronized boolean isDown() {
        return down;
    }

    /** Returns the gauges by name. */
    synchronized Map<String, Double> gauges() {
        catchUp();
        if (!late.isEmpty()) {
            notifyAll();
        }
        return Map.of(
                "QueriesWaiting",
                (double) model.waiting(),
                "CoresBusy",
                model.coresBusy(),
                "MemoryGranted",
                model.memoryGranted(),
                "DisksBusy",
                model.disksBusy(),
                "QueriesInHand",
                (double) model.inHand(),
                "Uptime",
                model.upMs() / 1000);
    }

    synchronized double drawn() {
        return random.nextDouble();
    }
}
