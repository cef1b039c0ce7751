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
    private static final long LOOK_NS = 10 * MS;
    private static final long COMPARE_NS = 1_000 * MS;
    private static final int MOST_NOTICES = 1_000;
    private static final long DAY_MS = 86_400_000L;

    /** A node's settings; {@code peers} are the other routers by name. */
    public record Spec(
            String name,
            InetSocketAddress listen,
            Path state,
            Map<String, InetSocketAddress> peers,
            SwimConfig terms,
            long seed) {}

    private final Spec spec;
    private final Identity identity;
    private final RouterControl controlled;
    private final ControlServer server;
    private final Map<String, PeerConnection> links = new HashMap<>();
    private final ReplicatedCommandSet notices =
            new ReplicatedCommandSet(MOST_NOTICES, 30 * DAY_MS, 60 * DAY_MS);
    private final CommandLog journal;
    private final CommandDisseminator carrier;
    private final Set<OperatorCommand> obeyed = new HashSet<>();
    private final Map<OperatorCommand, Long> learntMs = new HashMap<>();
    private final Thread thread;
    private Swim swim;
    private boolean unsaved;
    private volatile boolean closed;

    /** A node that knows its notices from before: they are in force when this returns. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled) throws IOException {
        this(spec, identity, controlled, FolderDisk.writing(spec.state()));
    }

    /** The same with another disk. */
    public FleetMember(Spec spec, Identity identity, RouterControl controlled, Disk disk)
            throws IOException {
        this.spec = spec;
        this.identity = identity;
        this.controlled = controlled;
        this.carrier = new CommandDisseminator(notices, spec.seed());
        this.journal = new CommandLog(disk, notices, System.currentTimeMillis());
        notices.all(nowMs()).stream()
                .filter(ttl -> ttl.notice().intent() == Intent.STOP)
                .forEach(ttl -> obeyed.add(ttl.notice()));
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
                            links.put(peer, new PeerConnection(identity, peer, at));
                        });
        swim =
                new Swim(
                        spec.name(),
                        address().getHostString() + ":" + address().getPort(),
                        seeds,
                        spec.terms(),
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
                        compareNs = now + COMPARE_NS;
                        carry(carrier.compare(links.keySet()));
                        saveAgain();
                        notices.forget(nowMs());
                        apply(); // what is over is over
                    }
                }
                Thread.sleep(LOOK_NS / MS);
            }
        } catch (InterruptedException e) {
            LOG.debug("{} gossips no more", spec.name());
        }
    }

    private void send(Swim.Send send) {
        link(send.member(), send.address())
                .send(
                        ControlCodec.swim(
                                send.message(),
                                address().getHostString() + ":" + address().getPort()));
    }

    /** The way to a peer; one that no setting names is reached where it says that it is. */
    private PeerConnection link(String peer, String address) {
        return links.computeIfAbsent(
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

    private void carry(List<CommandDisseminator.Transmission> all) {
        for (CommandDisseminator.Transmission transmission : all) {
            PeerConnection link = links.get(transmission.peer());
            if (link != null
                    && transmission
                            instanceof CommandDisseminator.Transmission.SendCommands sendCommands) {
                link.send(ControlCodec.notices("notices", sendCommands.notices()));
            } else if (link != null
                    && transmission
                            instanceof CommandDisseminator.Transmission.SendDigest sendDigest) {
                link.send(ControlCodec.digest(sendDigest.digest(), sendDigest.back()));
            }
        }
    }

    /** Takes notices: on the disk first, then in force, then carried on. */
    private synchronized List<CommandWithTtl> take(List<CommandWithTtl> held, String from) {
        List<CommandWithTtl> fresh = new ArrayList<>();
        long now = nowMs();
        for (CommandWithTtl ttl : held) {
            if (notices.add(ttl.notice(), ttl.leftMs(), now)) {
                save(ttl, now);
                learntMs.put(ttl.notice(), now);
                fresh.add(ttl);
            }
        }
        if (learntMs.size() > 2 * MOST_NOTICES) {
            learntMs.clear();
        }
        if (!fresh.isEmpty()) {
            apply();
            carry(carrier.spread(fresh, links.keySet(), from));
        }
        return fresh;
    }

    /**
     * A disk that fails is no reason to send fresh work to an engine that drains: the notice is in
     * force, told on, and said not to be safe from a crash, until the disk takes it.
     */
    private void save(CommandWithTtl ttl, long now) {
        try {
            journal.put(ttl.notice(), ttl.leftMs(), now);
        } catch (IOException e) {
            if (!unsaved) {
                LOG.error(
                        "notices are not kept: a crash would forget what came since: {}",
                        e.toString());
            }
            unsaved = true;
        }
    }

    private void saveAgain() {
        if (unsaved) {
            try {
                journal.rewrite(nowMs());
                unsaved = false;
                LOG.info("notices are kept again");
            } catch (IOException e) {
                LOG.debug("notices are still not kept: {}", e.toString());
            }
        }
    }

    private void apply() {
        Set<String> engines = new HashSet<>();
        Intent self = Intent.NONE;
        for (Map.Entry<String, Intent> entry : notices.intents(nowMs()).entrySet()) {
            if (entry.getKey().startsWith("engine:")) {
                engines.add(entry.getKey().substring("engine:".length()));
            } else if (entry.getKey().equals(OperatorCommand.router(spec.name()))) {
                self = entry.getValue();
            }
        }
        controlled.drained(engines);
        boolean stops = self == Intent.STOP && isFresh();
        controlled.refuse(self == Intent.DRAIN || stops);
        if (stops) {
            notices.all(nowMs()).forEach(ttl -> obeyed.add(ttl.notice()));
            controlled.stop();
        }
    }

    /** A stop is obeyed once: who is started again after it was told to stop stays. */
    private boolean isFresh() {
        return notices.all(nowMs()).stream()
                .anyMatch(
                        ttl ->
                                ttl.notice().subject().equals(OperatorCommand.router(spec.name()))
                                        && ttl.notice().intent() == Intent.STOP
                                        && ttl.leftMs() > 0
                                        && !obeyed.contains(ttl.notice()));
    }

    // ---- Frames
    private JsonNode handle(Peer from, JsonNode frame) throws IOException {
        String op = ControlCodec.text(frame, "op");
        switch (op) {
            case "swim" -> {
                need(from, Role.ROUTER);
                synchronized (this) {
                    swim.receive(
                                    from.name(),
                                    ControlCodec.text(frame, "address"),
                                    ControlCodec.swim(frame),
                                    System.nanoTime())
                            .forEach(this::send);
                }
                return null;
            }
            case "notices" -> {
                need(from, Role.ROUTER);
                take(ControlCodec.notices(frame), from.name());
                return null;
            }
            case "digest" -> {
                need(from, Role.ROUTER);
                compared(from.name(), frame);
                return null;
            }
            case "put" -> {
                return put(from, ControlCodec.notices(frame));
            }
            case "status" -> {
                need(from, Role.OBSERVE);
                return status();
            }
            default ->
                    throw new IOException(
                            "op "
                                    + op
                                    + " is unknown; there are status, put, and those of routers");
        }
    }

    private static void need(Peer from, Role role) throws IOException {
        if (!from.roles().contains(role)) {
            throw new IOException(
                    from.name() + " has no role " + role.word() + ", only " + from.roles());
        }
    }

    private synchronized void compared(String peer, JsonNode frame) throws IOException {
        carry(
                carrier.compared(
                        peer, ControlCodec.digest(frame), frame.path("back").asBoolean(), nowMs()));
    }

    /** A command: its notices say who issued them, and that is who sent them. */
    private JsonNode put(Peer from, List<CommandWithTtl> held) throws IOException {
        for (CommandWithTtl ttl : held) {
            need(from, ttl.notice().intent() == Intent.STOP ? Role.STOP : Role.DRAIN);
            if (!ttl.notice().by().equals(from.name())) {
                throw new IOException(
                        "a notice by " + ttl.notice().by() + " comes from " + from.name());
            }
        }
        List<CommandWithTtl> fresh = take(held, "");
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
        return ControlCodec.op("known")
                .put("router", spec.name())
                .put("fresh", fresh.size())
                .put("durable", isSaved());
    }

    private synchronized boolean isSaved() {
        return !unsaved;
    }

    private synchronized ObjectNode status() {
        ObjectNode objectNode =
                ControlCodec.notices("status", notices.all(nowMs()))
                        .put("router", spec.name())
                        .put("atMs", nowMs())
                        .put("durable", isSaved())
                        .put("certificateEndsMs", identity.endsMs());
        for (JsonNode node : objectNode.path("notices")) {
            learntMs.forEach(
                    (notice, at) -> {
                        if (notice.subject().equals(node.path("subject").asText())
                                && notice.owner().equals(node.path("owner").asText())
                                && notice.revision() == node.path("revision").asLong()) {
                            ((ObjectNode) node).put("learntMs", at);
                        }
                    });
        }
        ArrayNode members = objectNode.putArray("members");
        for (MembershipUpdate membershipUpdate : swim.members().values()) {
            members.addObject()
                    .put("member", membershipUpdate.member())
                    .put("state", membershipUpdate.state().name())
                    .put("incarnation", membershipUpdate.incarnation());
        }
        controlled.status(objectNode);
        return objectNode;
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
        server.close();
        synchronized (this) {
            links.values().forEach(PeerConnection::close);
            try {
                journal.close();
            } catch (IOException e) {
                LOG.warn("notices: {}", e.toString());
            }
        }
    }
}
