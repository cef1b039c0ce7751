package ashlink.control.member;

import ashlink.capture.log.Disk;
import ashlink.capture.log.FolderDisk;
import ashlink.control.channel.ControlServer;
import ashlink.control.channel.ControlServer.Peer;
import ashlink.control.tls.Identity;
import ashlink.control.tls.Role;
import ashlink.fleet.command.CommandDisseminator;
import ashlink.fleet.command.Intent;
import ashlink.fleet.command.OperatorCommand;
import ashlink.fleet.command.ReplicatedCommandSet;
import ashlink.fleet.command.ReplicatedCommandSet.CommandWithTtl;
import ashlink.fleet.membership.MembershipUpdate;
import ashlink.fleet.membership.Swim;
import ashlink.fleet.membership.SwimConfig;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A router as a member of its fleet. Notices are synced to disk, then done, then carried on: to all
 * peers at once, and by comparing with one peer a second, whatever is held of it, so that what was
 * lost on the way arrives all the same.
 */
public final class FleetMember implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(FleetMember.class);
    private static final Logger AUDIT = LoggerFactory.getLogger("ashlink.control.audit");
    private static final long MS = 1_000_000L;
    private static final long TICK_NS = 10 * MS;
    private static final long ANTI_ENTROPY_NS = 1_000 * MS;
    private static final int MAX_COMMANDS = 1_000;
    private static final long DAY_MS = 86_400_000L;

    /** A node's settings; {@code peers} are the other routers by name. */
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
    private final Map<String, PeerConnection> connections = new HashMap<>();
    private final ReplicatedCommandSet commands =
            new ReplicatedCommandSet(MAX_COMMANDS, 30 * DAY_MS, 60 * DAY_MS);
    private final CommandLog commandLog;
    private final CommandDisseminator disseminator;
    private final Set<OperatorCommand> executedStops = new HashSet<>();
    private final Map<OperatorCommand, Long> learntMs = new HashMap<>();
    private final Thread thread;
    private Swim swim;
    private boolean logFailed;
    private volatile boolean closed;

    /** A node that knows its notices from before: they are in force when this returns. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled) throws IOException {
        this(spec, identity, controlled, FolderDisk.writing(spec.stateDir()));
    }

    /** The same with another disk. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled, Disk disk)
            throws IOException {
        this.spec = spec;
        this.identity = identity;
        this.router = controlled;
        this.disseminator = new CommandDisseminator(commands, spec.seed());
        this.commandLog = new CommandLog(disk, commands, System.currentTimeMillis());
        commands.commands(nowMs()).stream()
                .filter(ttl -> ttl.notice().intent() == Intent.STOP)
                .forEach(ttl -> executedStops.add(ttl.notice()));
        this.server = new ControlServer(identity, spec.listen(), this::handle);
        this.thread = new Thread(null, this::run, spec.name() + "-gossip", 256 << 10);
        thread.setDaemon(true);
        apply();
    }

    private static long nowMs() {
        return System.currentTimeMillis();
    }

    /** Starts to listen and to gossip. */
    public synchronized void start() {
        Map<String, String> seeds = new HashMap<>();
        spec.peers()
                .forEach(
                        (peer, at) -> {
                            seeds.put(peer, at.getHostString() + ":" + at.getPort());
                            connections.put(peer, new PeerConnection(identity, peer, at));
                        });
        swim =
                new Swim(
                        spec.name(),
                        address().getHostString() + ":" + address().getPort(),
                        seeds,
                        spec.swimConfig(),
                        spec.seed());
        server.start();
        thread.start();
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    // ---- Gossip
    private void run() {
        long compareNs = System.nanoTime();
        try {
            while (!closed) {
                long now = System.nanoTime();
                synchronized (this) {
                    swim.tick(now).forEach(this::send);
                    if (now >= compareNs) {
                        compareNs = now + ANTI_ENTROPY_NS;
                        transmit(disseminator.startAntiEntropy(connections.keySet()));
                        retryPersist();
                        commands.removeExpired(nowMs());
                        apply(); // what is over is over
                    }
                }
                Thread.sleep(TICK_NS / MS);
            }
        } catch (InterruptedException e) {
            LOG.debug("{} gossips no more", spec.name());
        }
    }

    private void send(Swim.Send send) {
        connectionTo(send.member(), send.address())
                .send(
                        ControlCodec.swim(
                                send.message(),
                                address().getHostString() + ":" + address().getPort()));
    }

    /** The way to a peer; one that no setting names is reached where it says that it is. */
    private PeerConnection connectionTo(String peer, String address) {
        return connections.computeIfAbsent(
                peer,
                text -> {
                    int colon = address.lastIndexOf(':');
                    return new PeerConnection(
                            identity,
                            text,
                            new InetSocketAddress(
                                    address.substring(0, colon),
                                    Integer.parseInt(address.substring(colon + 1))));
                });
    }

    private void transmit(List<CommandDisseminator.Transmission> all) {
        for (CommandDisseminator.Transmission transmission : all) {
            PeerConnection link = connections.get(transmission.peer());
            if (link != null
                    && transmission
                            instanceof CommandDisseminator.Transmission.SendCommands sendCommands) {
                link.send(ControlCodec.notices(ControlWords.OP_COMMANDS, sendCommands.commands()));
            } else if (link != null
                    && transmission
                            instanceof CommandDisseminator.Transmission.SendDigest sendDigest) {
                link.send(ControlCodec.digest(sendDigest.digest(), sendDigest.reply()));
            }
        }
    }

    /** Takes notices: on the disk first, then in force, then carried on. */
    private synchronized List<CommandWithTtl> merge(List<CommandWithTtl> held, String from) {
        List<CommandWithTtl> fresh = new ArrayList<>();
        long now = nowMs();
        for (CommandWithTtl ttl : held) {
            if (commands.add(ttl.notice(), ttl.leftMs(), now)) {
                persist(ttl, now);
                learntMs.put(ttl.notice(), now);
                fresh.add(ttl);
            }
        }
        if (learntMs.size() > 2 * MAX_COMMANDS) {
            learntMs.clear();
        }
        if (!fresh.isEmpty()) {
            apply();
            transmit(disseminator.disseminate(fresh, connections.keySet(), from));
        }
        return fresh;
    }

    /**
     * A disk that fails is no reason to send fresh work to an engine that drains: the notice is in
     * force, told on, and said not to be safe from a crash, until the disk takes it.
     */
    private void persist(CommandWithTtl ttl, long now) {
        try {
            commandLog.put(ttl.notice(), ttl.leftMs(), now);
        } catch (IOException e) {
            if (!logFailed) {
                LOG.error(
                        "notices are not kept: a crash would forget what came since: {}",
                        e.toString());
            }
            logFailed = true;
        }
    }

    private void retryPersist() {
        if (logFailed) {
            try {
                commandLog.rewrite(nowMs());
                logFailed = false;
                LOG.info("notices are kept again");
            } catch (IOException e) {
                LOG.debug("notices are still not kept: {}", e.toString());
            }
        }
    }

    private void apply() {
        Set<String> engines = new HashSet<>();
        Intent self = Intent.NONE;
        for (Map.Entry<String, Intent> entry : commands.intents(nowMs()).entrySet()) {
            if (entry.getKey().startsWith("engine:")) {
                engines.add(entry.getKey().substring("engine:".length()));
            } else if (entry.getKey().equals(OperatorCommand.router(spec.name()))) {
                self = entry.getValue();
            }
        }
        router.drained(engines);
        boolean stops = self == Intent.STOP && isStopPending();
        router.refuse(self == Intent.DRAIN || stops);
        if (stops) {
            commands.commands(nowMs()).forEach(ttl -> executedStops.add(ttl.notice()));
            router.stop();
        }
    }

    /** A stop is obeyed once: who is started again after it was told to stop stays. */
    private boolean isStopPending() {
        return commands.commands(nowMs()).stream()
                .anyMatch(
                        ttl ->
                                ttl.notice().subject().equals(OperatorCommand.router(spec.name()))
                                        && ttl.notice().intent() == Intent.STOP
                                        && ttl.leftMs() > 0
                                        && !executedStops.contains(ttl.notice()));
    }

    // ---- Frames
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
                merge(ControlCodec.notices(frame), from.name());
                return null;
            }
            case ControlWords.OP_DIGEST -> {
                requireRole(from, Role.ROUTER);
                onDigest(from.name(), frame);
                return null;
            }
            case ControlWords.OP_PUT -> {
                return put(from, ControlCodec.notices(frame));
            }
            case ControlWords.OP_STATUS -> {
                requireRole(from, Role.OBSERVE);
                return status();
            }
            default ->
                    throw new IOException(
                            "op "
                                    + op
                                    + " is unknown; there are status, put, and those of routers");
        }
    }

    private static void requireRole(Peer from, Role role) throws IOException {
        if (!from.roles().contains(role)) {
            throw new IOException(
                    from.name() + " has no role " + role.word() + ", only " + from.roles());
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

    /** A command: its notices say who issued them, and that is who sent them. */
    private JsonNode put(Peer from, List<CommandWithTtl> held) throws IOException {
        for (CommandWithTtl ttl : held) {
            requireRole(from, ttl.notice().intent() == Intent.STOP ? Role.STOP : Role.DRAIN);
            if (!ttl.notice().by().equals(from.name())) {
                throw new IOException(
                        "a notice by " + ttl.notice().by() + " comes from " + from.name());
            }
        }
        List<CommandWithTtl> fresh = merge(held, "");
        for (CommandWithTtl ttl : held) {
            AUDIT.atInfo()
                    .addKeyValue("by", from.name())
                    .addKeyValue("address", from.address())
                    .addKeyValue("subject", ttl.notice().subject())
                    .addKeyValue("intent", ttl.notice().intent())
                    .addKeyValue("owner", ttl.notice().owner())
                    .addKeyValue("revision", ttl.notice().revision())
                    .addKeyValue("why", ttl.notice().why())
                    .addKeyValue("fresh", fresh.contains(ttl))
                    .log("command");
        }
        return ControlCodec.op(ControlWords.OP_PUT_RESULT)
                .put(ControlWords.ROUTER, spec.name())
                .put(ControlWords.NEW_COMMANDS, fresh.size())
                .put(ControlWords.DURABLE, isDurable());
    }

    private synchronized boolean isDurable() {
        return !logFailed;
    }

    private synchronized ObjectNode status() {
        ObjectNode objectNode =
                ControlCodec.notices(ControlWords.OP_STATUS, commands.commands(nowMs()))
                        .put(ControlWords.ROUTER, spec.name())
                        .put(ControlWords.TIME_MS, nowMs())
                        .put(ControlWords.DURABLE, isDurable())
                        .put(ControlWords.CERTIFICATE_EXPIRES_MS, identity.endsMs());
        for (JsonNode node : objectNode.path(ControlWords.COMMANDS)) {
            learntMs.forEach(
                    (notice, at) -> {
                        if (notice.subject().equals(node.path(ControlWords.SUBJECT).asText())
                                && notice.owner().equals(node.path(ControlWords.OWNER).asText())
                                && notice.revision() == node.path(ControlWords.REVISION).asLong()) {
                            ((ObjectNode) node).put(ControlWords.RECEIVED_MS, at);
                        }
                    });
        }
        ArrayNode members = objectNode.putArray(ControlWords.MEMBERS);
        for (MembershipUpdate membershipUpdate : swim.members().values()) {
            members.addObject()
                    .put(ControlWords.MEMBER, membershipUpdate.member())
                    .put(ControlWords.STATE, ControlWords.word(membershipUpdate.state()))
                    .put(ControlWords.INCARNATION, membershipUpdate.incarnation());
        }
        router.status(objectNode);
        return objectNode;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        server.close();
        synchronized (this) {
            connections.values().forEach(PeerConnection::close);
            try {
                commandLog.close();
            } catch (IOException e) {
                LOG.warn("notices: {}", e.toString());
            }
        }
    }
}
