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
    private static final long NS_PER_MS = 1_000_000L;
    private static final long TICK_INTERVAL_NS = 10 * NS_PER_MS;
    private static final long ANTI_ENTROPY_INTERVAL_NS = 1_000 * NS_PER_MS;
    private static final long THREAD_STACK_BYTES = 256 << 10;

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
    public FleetMember(Spec spec, Identity identity, RouterControl router) throws IOException {
        this(spec, identity, router, FolderDisk.writing(spec.stateDir()));
    }

    /** Creates a member whose command log is on the given disk. */
    public FleetMember(Spec spec, Identity identity, RouterControl router, Disk disk)
            throws IOException {
        this.spec = spec;
        this.identity = identity;
        this.router = router;
        this.peers = new PeerConnections(identity);
        this.store = new CommandStore(disk, nowMs());
        this.disseminator = new CommandDisseminator(store.commands(), spec.seed());
        this.executor = new CommandExecutor(spec.name(), router, store.commands(), nowMs());
        this.server = new ControlServer(identity, spec.listen(), this::handle);
        this.thread = new Thread(null, this::run, spec.name() + "-gossip", THREAD_STACK_BYTES);
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
                        (peer, address) -> {
                            seeds.put(peer, address.getHostString() + ":" + address.getPort());
                            peers.add(peer, address);
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
        long nextAntiEntropyNs = System.nanoTime();
        try {
            while (!closed) {
                long nowNs = System.nanoTime();
                synchronized (this) {
                    swim.tick(nowNs).forEach(this::send);
                    if (nowNs >= nextAntiEntropyNs) {
                        nextAntiEntropyNs = nowNs + ANTI_ENTROPY_INTERVAL_NS;
                        runAntiEntropy();
                    }
                }
                Thread.sleep(TICK_INTERVAL_NS / NS_PER_MS);
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

    private void send(Swim.Send message) {
        peers.send(
                message.member(),
                message.address(),
                ControlCodec.swim(message.message(), ownAddress()));
    }

    private void transmit(List<Transmission> transmissions) {
        for (Transmission transmission : transmissions) {
            if (transmission instanceof SendCommands commands) {
                peers.send(
                        commands.peer(),
                        ControlCodec.commands(ControlProtocol.OP_COMMANDS, commands.commands()));
            } else if (transmission instanceof SendDigest digest) {
                peers.send(digest.peer(), ControlCodec.digest(digest.digest(), digest.reply()));
            }
        }
    }

    /** Merges commands: syncs the new ones to disk, applies them and forwards them to the peers. */
    private synchronized List<CommandWithTtl> merge(List<CommandWithTtl> received, String sender) {
        List<CommandWithTtl> changed = store.merge(received, nowMs());
        if (!changed.isEmpty()) {
            executor.apply(nowMs());
            transmit(disseminator.disseminate(changed, peers.peers(), sender));
        }
        return changed;
    }

    private JsonNode handle(Peer sender, JsonNode frame) throws IOException {
        String op = ControlCodec.text(frame, ControlProtocol.OP);
        switch (op) {
            case ControlProtocol.OP_SWIM -> {
                requireRole(sender, Role.ROUTER);
                synchronized (this) {
                    swim.receive(
                                    sender.name(),
                                    ControlCodec.text(frame, ControlProtocol.ADDRESS),
                                    ControlCodec.swim(frame),
                                    System.nanoTime())
                            .forEach(this::send);
                }
                return null;
            }
            case ControlProtocol.OP_COMMANDS -> {
                requireRole(sender, Role.ROUTER);
                merge(ControlCodec.commands(frame), sender.name());
                return null;
            }
            case ControlProtocol.OP_DIGEST -> {
                requireRole(sender, Role.ROUTER);
                onDigest(sender.name(), frame);
                return null;
            }
            case ControlProtocol.OP_PUT -> {
                return put(sender, ControlCodec.commands(frame));
            }
            case ControlProtocol.OP_STATUS -> {
                requireRole(sender, Role.OBSERVE);
                return status();
            }
            default ->
                    throw new IOException(
                            "unknown operation "
                                    + op
                                    + ": expected status or put, from routers also swim, notices"
                                    + " or digest");
        }
    }

    private static void requireRole(Peer sender, Role role) throws IOException {
        if (!sender.roles().contains(role)) {
            throw new IOException(
                    "permission denied: "
                            + sender.name()
                            + " requires role "
                            + role.word()
                            + ", has "
                            + sender.roles());
        }
    }

    private synchronized void onDigest(String peer, JsonNode frame) throws IOException {
        transmit(
                disseminator.onDigest(
                        peer,
                        ControlCodec.digest(frame),
                        frame.path(ControlProtocol.REPLY).asBoolean(),
                        nowMs()));
    }

    /** Accepts commands only from the operator who issued them. */
    private JsonNode put(Peer sender, List<CommandWithTtl> received) throws IOException {
        for (CommandWithTtl entry : received) {
            requireRole(sender, entry.command().intent() == Intent.STOP ? Role.STOP : Role.DRAIN);
            if (!entry.command().issuer().equals(sender.name())) {
                throw new IOException(
                        "invalid command issuer "
                                + entry.command().issuer()
                                + ": expected the sender "
                                + sender.name());
            }
        }
        List<CommandWithTtl> changed = merge(received, "");
        for (CommandWithTtl entry : received) {
            AUDIT.atInfo()
                    .addKeyValue("by", sender.name())
                    .addKeyValue("address", sender.address())
                    .addKeyValue("subject", entry.command().subject())
                    .addKeyValue("intent", entry.command().intent())
                    .addKeyValue("owner", entry.command().owner())
                    .addKeyValue("revision", entry.command().revision())
                    .addKeyValue("why", entry.command().reason())
                    .addKeyValue("fresh", changed.contains(entry))
                    .log("command");
        }
        return ControlCodec.op(ControlProtocol.OP_PUT_RESULT)
                .put(ControlProtocol.ROUTER, spec.name())
                .put(ControlProtocol.NEW_COMMANDS, changed.size())
                .put(ControlProtocol.DURABLE, isDurable());
    }

    private synchronized boolean isDurable() {
        return store.isDurable();
    }

    private synchronized ObjectNode status() {
        ObjectNode status =
                StatusResponse.of(
                        spec.name(), store, swim.members(), identity.expiresMs(), nowMs());
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
