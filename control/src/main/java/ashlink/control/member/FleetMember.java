package ashlink.control.member;

import ashlink.capture.log.Disk;
import ashlink.capture.log.FolderDisk;
import ashlink.control.channel.ControlServer;
import ashlink.control.channel.ControlServer.Peer;
import ashlink.control.tls.Identity;
import ashlink.control.tls.Role;
import ashlink.fleet.command.CommandDisseminator;
import ashlink.fleet.command.CommandDisseminator.Transmission;
import ashlink.fleet.command.CommandDisseminator.Transmission.SendCommands;
import ashlink.fleet.command.CommandDisseminator.Transmission.SendDigest;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import ashlink.fleet.membership.Swim;
import ashlink.fleet.membership.SwimConfig;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router as a member of its fleet. A received command is synced to disk, then applied, then
 * forwarded to the other routers. Commands lost in transit are recovered by comparing digests with
 * one peer per second (anti-entropy). Commands are sent to all peers, whatever their membership
 * state.
 *
 * <p>Thread-safe; the state of the membership and the commands is guarded by {@code this}.
 */
public final class FleetMember implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(FleetMember.class);
    private static final Logger AUDIT = LoggerFactory.getLogger("ashlink.control.audit");
    private static final long MS = 1_000_000L;
    private static final long TICK_NS = 10 * MS;
    private static final long ANTI_ENTROPY_NS = 1_000 * MS;
    private static final long STACK_BYTES = 256 << 10;

    /**
     * Configuration of a member.
     *
     * @param listen address on which the control channel listens
     * @param stateDir directory of the command log
     * @param peers addresses of the other routers by name
     * @param seed the seed of the random choices
     */
    public record Spec(
            String name,
            InetSocketAddress listen,
            Path stateDir,
            Map<String, InetSocketAddress> peers,
            SwimConfig swimConfig,
            long seed) {}

    private final Spec spec;
    private final Identity identity;
    private final RouterControl router;
    private final ControlServer server;
    private final PeerConnections peers;
    private final CommandStore store;
    private final CommandExecutor executor;
    private final CommandDisseminator disseminator;
    private final Thread thread;
    private Swim swim;
    private volatile boolean closed;

    /** Creates a member and applies the commands in its command log to the router. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled) throws IOException {
        this(spec, identity, controlled, FolderDisk.writing(spec.stateDir()));
    }

    /** Creates a member whose command log is on the given disk. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled, Disk disk)
            throws IOException {
        this.spec = spec;
        this.identity = identity;
        this.router = controlled;
        this.peers = new PeerConnections(identity);
        this.store = new CommandStore(disk, nowMs());
        this.disseminator = new CommandDisseminator(store.commands(), spec.seed());
        this.executor = new CommandExecutor(spec.name(), router, store.commands(), nowMs());
        this.server = new ControlServer(identity, spec.listen(), this::handle);
        this.thread = new Thread(null, this::run, spec.name() + "-gossip", STACK_BYTES);
        thread.setDaemon(true);
        executor.apply(nowMs());
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    /** Starts to accept connections and to gossip. */
    public synchronized void start() {
        Map<String, String> seeds = new HashMap<>();
        spec.peers()
                .forEach(
                        (peer, at) -> {
                            seeds.put(peer, at.getHostString() + ":" + at.getPort());
                            peers.add(peer, at);
                        });
        swim = new Swim(spec.name(), ownAddress(), seeds, spec.swimConfig(), spec.seed());
        server.start();
        thread.start();
    }

    /** Returns the address on which the control channel listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    private String ownAddress() {
        return address().getHostString() + ":" + address().getPort();
    }

    private void run() {
        long compareNs = System.nanoTime();
        try {
            while (!closed) {
                long now = System.nanoTime();
                synchronized (this) {
                    swim.tick(now).forEach(this::send);
                    if (now >= compareNs) {
                        compareNs = now + ANTI_ENTROPY_NS;
                        runAntiEntropy();
                    }
                }
                Thread.sleep(TICK_NS / MS);
            }
        } catch (InterruptedException e) {
            LOG.debug("gossip stopped router={}", spec.name());
        }
    }

    private void runAntiEntropy() {
        transmit(disseminator.startAntiEntropy(peers.peers()));
        store.retryPersist(nowMs());
        store.commands().removeExpired(nowMs());
        executor.apply(nowMs());
    }

    private void send(Swim.Send send) {
        peers.send(send.member(), send.address(), ControlCodec.swim(send.message(), ownAddress()));
    }

    private void transmit(List<Transmission> transmissions) {
        for (Transmission transmission : transmissions) {
            if (transmission instanceof SendCommands commands) {
                peers.send(
                        commands.peer(),
                        ControlCodec.commands(ControlWords.OP_COMMANDS, commands.commands()));
            } else if (transmission instanceof SendDigest digest) {
                peers.send(digest.peer(), ControlCodec.digest(digest.digest(), digest.reply()));
            }
        }
    }

    /** Merges commands: syncs the new ones to disk, applies them and forwards them to the peers. */
    private synchronized List<CommandWithTtl> merge(List<CommandWithTtl> received, String from) {
        List<CommandWithTtl> changed = store.merge(received, nowMs());
        if (!changed.isEmpty()) {
            executor.apply(nowMs());
            transmit(disseminator.disseminate(changed, peers.peers(), from));
        }
        return changed;
    }

    private JsonNode handle(Peer from, JsonNode frame) throws IOException {
        String op = ControlCodec.text(frame, ControlWords.OP);
        switch (op) {
            case ControlWords.OP_SWIM -> {
                requireRole(from, Role.ROUTER);
                synchronized (this) {
                    swim.receive(
                                    from.name(),
                                    ControlCodec.text(frame, ControlWords.ADDRESS),
                                    ControlCodec.swim(frame),
                                    System.nanoTime())
                            .forEach(this::send);
                }
                return null;
            }
            case ControlWords.OP_COMMANDS -> {
                requireRole(from, Role.ROUTER);
                merge(ControlCodec.commands(frame), from.name());
                return null;
            }
            case ControlWords.OP_DIGEST -> {
                requireRole(from, Role.ROUTER);
                onDigest(from.name(), frame);
                return null;
            }
            case ControlWords.OP_PUT -> {
                return put(from, ControlCodec.commands(frame));
            }
            case ControlWords.OP_STATUS -> {
                requireRole(from, Role.OBSERVE);
                return status();
            }
            default ->
                    throw new IOException(
                            "unknown operation "
                                    + op
                                    + ": expected status, put, or swim, notices, digest of routers");
        }
    }

    private static void requireRole(Peer from, Role role) throws IOException {
        if (!from.roles().contains(role)) {
            throw new IOException(
                    "permission denied: "
                            + from.name()
                            + " requires role "
                            + role.word()
                            + ", has "
                            + from.roles());
        }
    }

    private synchronized void onDigest(String peer, JsonNode frame) throws IOException {
        transmit(
                disseminator.onDigest(
                        peer,
                        ControlCodec.digest(frame),
                        frame.path(ControlWords.REPLY).asBoolean(),
                        nowMs()));
    }

    /** Accepts commands only from the operator who issued them. */
    private JsonNode put(Peer from, List<CommandWithTtl> received) throws IOException {
        for (CommandWithTtl command : received) {
            requireRole(from, command.command().intent() == Intent.STOP ? Role.STOP : Role.DRAIN);
            if (!command.command().by().equals(from.name())) {
                throw new IOException(
                        "invalid command issuer "
                                + command.command().by()
                                + ": expected the sender "
                                + from.name());
            }
        }
        List<CommandWithTtl> changed = merge(received, "");
        for (CommandWithTtl command : received) {
            AUDIT.atInfo()
                    .addKeyValue("by", from.name())
                    .addKeyValue("address", from.address())
                    .addKeyValue("subject", command.command().subject())
                    .addKeyValue("intent", command.command().intent())
                    .addKeyValue("owner", command.command().owner())
                    .addKeyValue("revision", command.command().revision())
                    .addKeyValue("why", command.command().why())
                    .addKeyValue("fresh", changed.contains(command))
                    .log("command");
        }
        return ControlCodec.op(ControlWords.OP_PUT_RESULT)
                .put(ControlWords.ROUTER, spec.name())
                .put(ControlWords.NEW_COMMANDS, changed.size())
                .put(ControlWords.DURABLE, isDurable());
    }

    private synchronized boolean isDurable() {
        return store.isDurable();
    }

    private synchronized ObjectNode status() {
        ObjectNode status =
                StatusPage.of(spec.name(), store, swim.members(), identity.expiresMs(), nowMs());
        router.addStatus(status);
        return status;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        server.close();
        synchronized (this) {
            peers.close();
            try {
                store.close();
            } catch (IOException e) {
                LOG.warn("command log close failed error=\"{}\"", e.toString());
            }
        }
    }
}
