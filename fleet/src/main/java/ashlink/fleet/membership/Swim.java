package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import ashlink.fleet.membership.Message.Ack;
import ashlink.fleet.membership.Message.Ping;
import ashlink.fleet.membership.Message.PingReq;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The SWIM protocol as run by one member. In each protocol period, the member pings one other
 * member. If no ack arrives within the ping timeout, the member sends ping-reqs to some others; if
 * no ack arrives by the end of the period, it marks the pinged member as suspected. Membership
 * updates are piggybacked on all messages.
 *
 * <p>This class performs no I/O and reads no clock: the caller passes the time and the received
 * messages, and sends the returned messages. The same seed and the same calls give the same
 * results. Times are in nanoseconds of one monotonic clock. Not thread-safe.
 */
public final class Swim {

    /** An outgoing message with the name and address of its receiver. */
    public record Send(String member, String address, Message message) {}

    /** A ping sent in response to a ping-req, and the member to which its ack is forwarded. */
    private record RelayedPing(
            String requester, String requesterAddress, long requesterSequence, String target) {}

    private final SwimConfig config;
    private final SplittableRandom random;
    private final MembershipList membership;
    private final PingSchedule pingSchedule;
    private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
    private long lastSequence;
    private long periods;
    private long nextPeriodNs;
    private long lastTickNs;
    private boolean started;

    /** The member whose ack is pending in this protocol period; null if there is none. */
    private String pingTarget;

    private long pingSequence;
    private long pingReqAtNs;
    private boolean pingReqSent;

    /**
     * Creates a member that initially assumes the seed members to be alive.
     *
     * @param address the address of this member as {@code HOST:PORT}
     * @param seeds addresses of other members by name
     * @param seed the seed of the random choices
     */
    public Swim(
            String name, String address, Map<String, String> seeds, SwimConfig config, long seed) {
        this.config = config;
        this.random = new SplittableRandom(seed);
        this.membership = new MembershipList(name, address, seeds, config);
        this.pingSchedule = new PingSchedule(random);
    }

    /**
     * Advances the protocol to the given time and returns the messages to send. If more than three
     * protocol periods have passed since the last call, the process is assumed to have been paused.
     */
    public List<Send> tick(long nowNs) {
        List<Send> out = new ArrayList<>();
        if (!started) {
            started = true;
            nextPeriodNs = nowNs + random.nextLong(config.periodNs());
        }
        long pausedNs = lastTickNs > 0 ? nowNs - lastTickNs - config.periodNs() : 0;
        lastTickNs = nowNs;
        if (pausedNs > 2 * config.periodNs()) {
            resumeAfterPause(pausedNs, nowNs);
        }
        membership.expireSuspicions(nowNs);
        if (pingTarget != null && !pingReqSent && nowNs >= pingReqAtNs) {
            sendPingReqs(out);
        }
        if (nowNs >= nextPeriodNs) {
            if (pingTarget != null) {
                membership.suspect(pingTarget, nowNs);
            }
            nextPeriodNs =
                    Math.max(nextPeriodNs + config.periodNs(), nowNs + config.periodNs() / 2);
            startProtocolPeriod(nowNs, out);
        }
        return out;
    }

    /**
     * Resumes the protocol after a pause of this process. Acks may have been missed during the
     * pause, so the pending ping is discarded and the suspicion timeouts are extended by the pause.
     */
    private void resumeAfterPause(long pausedNs, long nowNs) {
        pingTarget = null;
        relayedPings.clear();
        nextPeriodNs = nowNs;
        membership.extendSuspicions(pausedNs);
    }

    private void sendPingReqs(List<Send> out) {
        pingReqSent = true;
        for (String relay : randomAliveMembers(config.pingReqMembers(), pingTarget)) {
            List<MembershipUpdate> updates = membership.piggybackedUpdates();
            out.add(sendTo(relay, new PingReq(pingSequence, pingTarget, updates)));
        }
    }

    private void startProtocolPeriod(long nowNs, List<Send> out) {
        periods++;
        pingTarget = null;
        relayedPings.clear();
        String next = pingSchedule.next(membership::notDead, membership::isNotDead);
        if (next != null) {
            pingTarget = next;
            pingSequence = ++lastSequence;
            pingReqAtNs = nowNs + config.pingTimeoutNs();
            pingReqSent = false;
            out.add(sendTo(next, new Ping(pingSequence, membership.piggybackedUpdates())));
        }
        if (periods % config.deadPingPeriods() == 0) {
            pingDeadMember(out);
        }
    }

    /** Pings a random dead member with its own state, which the member refutes if it is alive. */
    private void pingDeadMember(List<Send> out) {
        List<String> dead = membership.inState(State.DEAD);
        if (dead.isEmpty()) {
            return;
        }
        String target = dead.get(random.nextInt(dead.size()));
        List<MembershipUpdate> updates = new ArrayList<>(membership.piggybackedUpdates());
        updates.add(membership.latest(target));
        out.add(sendTo(target, new Ping(++lastSequence, updates)));
    }

    private List<String> randomAliveMembers(int count, String excluded) {
        List<String> candidates = new ArrayList<>(membership.inState(State.ALIVE));
        candidates.remove(excluded);
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !candidates.isEmpty()) {
            chosen.add(candidates.remove(random.nextInt(candidates.size())));
        }
        return chosen;
    }

    private Send sendTo(String member, Message message) {
        return new Send(member, membership.latest(member).address(), message);
    }

    /** Processes a message received from a member at an address; returns the messages to send. */
    public List<Send> receive(String from, String address, Message message, long nowNs) {
        List<Send> out = new ArrayList<>();
        boolean known = membership.latest(from) != null;
        if (!from.equals(membership.self())) {
            membership.addSender(from, address, nowNs);
        }
        message.updates().forEach(update -> membership.apply(update, nowNs));
        if (message instanceof Ping ping) {
            out.add(new Send(from, address, ack(ping, known ? membership.latest(from) : null)));
        } else if (message instanceof PingReq pingReq
                && membership.latest(pingReq.target()) != null) {
            out.add(relay(from, address, pingReq));
        } else if (message instanceof Ack ack) {
            onAck(ack, out);
        }
        return out;
    }

    /**
     * Creates the ack of a ping. A suspected or dead sender also receives its own state, so that it
     * can refute that state.
     *
     * @param sender the latest update of the sender; null if the sender was unknown
     */
    private Ack ack(Ping ping, MembershipUpdate sender) {
        List<MembershipUpdate> updates = new ArrayList<>(membership.piggybackedUpdates());
        if (sender != null && sender.state() != State.ALIVE) {
            updates.add(sender);
        }
        return new Ack(ping.sequence(), membership.self(), updates);
    }

    private Send relay(String from, String address, PingReq pingReq) {
        long sequence = ++lastSequence;
        relayedPings.put(
                sequence, new RelayedPing(from, address, pingReq.sequence(), pingReq.target()));
        return sendTo(pingReq.target(), new Ping(sequence, membership.piggybackedUpdates()));
    }

    private void onAck(Ack ack, List<Send> out) {
        RelayedPing relayed = relayedPings.remove(ack.sequence());
        if (relayed != null && relayed.target.equals(ack.member())) {
            Ack forwarded =
                    new Ack(
                            relayed.requesterSequence,
                            ack.member(),
                            membership.piggybackedUpdates());
            out.add(new Send(relayed.requester, relayed.requesterAddress, forwarded));
        } else if (ack.sequence() == pingSequence && ack.member().equals(pingTarget)) {
            pingTarget = null;
        }
    }

    /** Returns the latest update of every other member by name. */
    public Map<String, MembershipUpdate> members() {
        return membership.all();
    }

    /** Returns the state of another member; null if the member is unknown. */
    public State stateOf(String member) {
        MembershipUpdate latest = membership.latest(member);
        return latest == null ? null : latest.state();
    }

    /** Returns the number of suspicions and death reports that this member refuted. */
    public long refutedSuspicions() {
        return membership.refutedSuspicions();
    }

    /** Returns the latest time at which {@link #tick} must be called next. */
    public long nextTickNs() {
        return pingTarget != null && !pingReqSent
                ? Math.min(nextPeriodNs, pingReqAtNs)
                : nextPeriodNs;
    }
}
