package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import ashlink.fleet.membership.Message.Ack;
import ashlink.fleet.membership.Message.Ping;
import ashlink.fleet.membership.Message.PingReq;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * One member's part of the protocol. Told the time and what was received, it says what to send; the
 * same story gives the same answers.
 */
public final class Swim {

    /** A message to a member at an address. */
    public record Send(String member, String address, Message message) {}

    private static final class MemberRecord {
        MembershipUpdate latest;
        long suspectUntilNs;

        MemberRecord(MembershipUpdate rumor) {
            this.latest = rumor;
        }
    }

    private static final class PendingUpdate {
        final MembershipUpdate update;
        int transmissions;

        PendingUpdate(MembershipUpdate rumor) {
            this.update = rumor;
        }
    }

    /** A ping on behalf of another. */
    private record RelayedPing(
            String requester, String requesterAddress, long requesterSequence, String target) {}

    private final SwimConfig config;
    private final SplittableRandom random;
    private final Map<String, MemberRecord> members = new TreeMap<>();
    private final Map<String, PendingUpdate> pendingUpdates = new TreeMap<>();
    private final Map<Long, RelayedPing> relayedPings = new HashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private MembershipUpdate self;
    private long lastSequence;
    private long periods;
    private long nextPeriodNs;
    private long lastTickNs;
    private boolean started;
    private String pingTarget;
    private long pingSequence;
    private long pingReqAtNs;
    private boolean pingReqSent;
    private long refutedSuspicions;

    /** A member of that name and address, which knows some others by address. */
    public Swim(
            String name, String address, Map<String, String> seeds, SwimConfig terms, long seed) {
        this.config = terms;
        this.random = new SplittableRandom(seed);
        this.self = new MembershipUpdate(name, address, 0, State.ALIVE);
        seeds.forEach(
                (member, at) -> {
                    if (!member.equals(name)) {
                        members.put(
                                member,
                                new MemberRecord(new MembershipUpdate(member, at, 0, State.ALIVE)));
                    }
                });
        disseminate(self);
    }

    // ---- Time
    /** The time has come to look. */
    public List<Send> tick(long now) {
        List<Send> out = new ArrayList<>();
        if (!started) {
            started = true;
            nextPeriodNs = now + random.nextLong(config.periodNs());
        }
        long slept = started && lastTickNs > 0 ? now - lastTickNs - config.periodNs() : 0;
        lastTickNs = now;
        if (slept > 2 * config.periodNs()) {
            resumeAfterPause(slept, now);
        }
        expireSuspicions(now);
        if (pingTarget != null && !pingReqSent && now >= pingReqAtNs) {
            pingReqSent = true;
            for (String helper : randomAliveMembers(config.pingReqMembers(), pingTarget)) {
                out.add(
                        sendTo(
                                helper,
                                new PingReq(pingSequence, pingTarget, piggybackedUpdates())));
            }
        }
        if (now >= nextPeriodNs) {
            if (pingTarget != null) {
                suspect(pingTarget, now);
            }
            nextPeriodNs = Math.max(nextPeriodNs + config.periodNs(), now + config.periodNs() / 2);
            startProtocolPeriod(now, out);
        }
        return out;
    }

    /**
     * This member stood still itself: answers may have come and gone unread, and nobody is to be
     * blamed. The pending ask is dropped, and suspicions get the time that was slept.
     */
    private void resumeAfterPause(long slept, long now) {
        pingTarget = null;
        relayedPings.clear();
        nextPeriodNs = now;
        members.values().forEach(known -> known.suspectUntilNs += slept);
    }

    private void startProtocolPeriod(long now, List<Send> out) {
        periods++;
        pingTarget = null;
        relayedPings.clear();
        String next = nextPingTarget();
        if (next != null) {
            pingTarget = next;
            pingSequence = ++lastSequence;
            pingReqAtNs = now + config.pingTimeoutNs();
            pingReqSent = false;
            out.add(sendTo(next, new Ping(pingSequence, piggybackedUpdates())));
        }
        if (periods % config.deadPingPeriods() == 0) {
            List<String> gone =
                    members.entrySet().stream()
                            .filter(entry -> entry.getValue().latest.state() == State.DEAD)
                            .map(Map.Entry::getKey)
                            .toList();
            if (!gone.isEmpty()) {
                String one = gone.get(random.nextInt(gone.size()));
                List<MembershipUpdate> with = new ArrayList<>(piggybackedUpdates());
                with.add(
                        members.get(one)
                                .latest); // it learns what is said of it, and can refute that
                out.add(sendTo(one, new Ping(++lastSequence, with)));
            }
        }
    }

    /**
     * The next in a random order that has each member once: the time until one is asked is bounded.
     */
    private String nextPingTarget() {
        while (true) {
            if (probeOrder.isEmpty()) {
                members.forEach(
                        (text, known) -> {
                            if (known.latest.state() != State.DEAD) {
                                probeOrder.add(random.nextInt(probeOrder.size() + 1), text);
                            }
                        });
                if (probeOrder.isEmpty()) {
                    return null;
                }
            }
            String text = probeOrder.remove(probeOrder.size() - 1);
            if (members.containsKey(text) && members.get(text).latest.state() != State.DEAD) {
                return text;
            }
        }
    }

    private List<String> randomAliveMembers(int count, String but) {
        List<String> from =
                new ArrayList<>(
                        members.entrySet().stream()
                                .filter(
                                        entry ->
                                                entry.getValue().latest.state() == State.ALIVE
                                                        && !entry.getKey().equals(but))
                                .map(Map.Entry::getKey)
                                .toList());
        List<String> chosen = new ArrayList<>();
        while (chosen.size() < count && !from.isEmpty()) {
            chosen.add(from.remove(random.nextInt(from.size())));
        }
        return chosen;
    }

    private Send sendTo(String member, Message message) {
        return new Send(member, members.get(member).latest.address(), message);
    }

    // ---- Messages
    /** A message came from that member. */
    public List<Send> receive(String from, String address, Message message, long now) {
        List<Send> out = new ArrayList<>();
        MemberRecord sender = members.get(from);
        if (sender == null && !from.equals(self.member())) {
            apply(new MembershipUpdate(from, address, 0, State.ALIVE), now);
        }
        message.updates().forEach(membershipUpdate -> apply(membershipUpdate, now));
        if (message instanceof Ping ping) {
            List<MembershipUpdate> with = new ArrayList<>(piggybackedUpdates());
            if (sender != null && sender.latest.state() != State.ALIVE) {
                with.add(sender.latest); // who is taken for gone and speaks is told so
            }
            out.add(new Send(from, address, new Ack(ping.sequence(), self.member(), with)));
        } else if (message instanceof PingReq pingFor && members.containsKey(pingFor.target())) {
            long number = ++lastSequence;
            relayedPings.put(
                    number, new RelayedPing(from, address, pingFor.sequence(), pingFor.target()));
            out.add(sendTo(pingFor.target(), new Ping(number, piggybackedUpdates())));
        } else if (message instanceof Ack ack) {
            RelayedPing r = relayedPings.remove(ack.sequence());
            if (r != null && r.target.equals(ack.member())) {
                out.add(
                        new Send(
                                r.requester,
                                r.requesterAddress,
                                new Ack(r.requesterSequence, ack.member(), piggybackedUpdates())));
            } else if (ack.sequence() == pingSequence && ack.member().equals(pingTarget)) {
                pingTarget = null;
            }
        }
        return out;
    }

    private void apply(MembershipUpdate membershipUpdate, long now) {
        if (membershipUpdate.member().equals(self.member())) {
            if (membershipUpdate.incarnation() >= self.incarnation()
                    && membershipUpdate.state() != State.ALIVE) {
                refutedSuspicions++;
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                membershipUpdate.incarnation() + 1,
                                State.ALIVE); // refutes it
                disseminate(self);
            } else if (membershipUpdate.incarnation() > self.incarnation()) {
                self =
                        new MembershipUpdate(
                                self.member(),
                                self.address(),
                                membershipUpdate.incarnation() + 1,
                                State.ALIVE); // of an earlier life
                disseminate(self);
            }
            return;
        }
        MemberRecord known = members.get(membershipUpdate.member());
        if (known == null) {
            if (membershipUpdate.state() == State.DEAD) {
                return; // nothing to forget
            }
            known = new MemberRecord(membershipUpdate);
            members.put(membershipUpdate.member(), known);
        } else if (membershipUpdate.overrides(known.latest)) {
            known.latest = membershipUpdate;
        } else {
            return;
        }
        if (membershipUpdate.state() == State.SUSPECT) {
            known.suspectUntilNs = now + suspicionTimeoutNs();
        }
        disseminate(membershipUpdate);
    }

    private void suspect(String member, long now) {
        MembershipUpdate membershipUpdate = members.get(member).latest;
        if (membershipUpdate.state() == State.ALIVE) {
            apply(
                    new MembershipUpdate(
                            member,
                            membershipUpdate.address(),
                            membershipUpdate.incarnation(),
                            State.SUSPECT),
                    now);
        }
    }

    private void expireSuspicions(long now) {
        for (MemberRecord known : members.values()) {
            if (known.latest.state() == State.SUSPECT && now >= known.suspectUntilNs) {
                known.latest =
                        new MembershipUpdate(
                                known.latest.member(),
                                known.latest.address(),
                                known.latest.incarnation(),
                                State.DEAD);
                disseminate(known.latest);
            }
        }
    }

    private double log2OfMembers() {
        return Math.log(members.size() + 2.0) / Math.log(2);
    }

    private long suspicionTimeoutNs() {
        return (long) (config.suspicionFactor() * log2OfMembers() * config.periodNs());
    }

    // ---- Rumors
    private void disseminate(MembershipUpdate membershipUpdate) {
        pendingUpdates.put(membershipUpdate.member(), new PendingUpdate(membershipUpdate));
    }

    /** The rumors told least often so far, each as often as the paper has it. */
    private List<MembershipUpdate> piggybackedUpdates() {
        int most = (int) Math.ceil(config.disseminationFactor() * log2OfMembers());
        List<PendingUpdate> chosen =
                pendingUpdates.values().stream()
                        .sorted(
                                Comparator.comparingInt((PendingUpdate told) -> told.transmissions)
                                        .thenComparing(told -> told.update.member()))
                        .limit(config.maxUpdatesPerMessage())
                        .toList();
        List<MembershipUpdate> out = new ArrayList<>();
        for (PendingUpdate told : chosen) {
            out.add(told.update);
            if (++told.transmissions >= most) {
                pendingUpdates.remove(told.update.member());
            }
        }
        return out;
    }

    // ---- What is known
    /** What is held of each member, this one left out. */
    public Map<String, MembershipUpdate> members() {
        Map<String, MembershipUpdate> all = new TreeMap<>();
        members.forEach((text, known) -> all.put(text, known.latest));
        return all;
    }

    /** What is held of one member; null of one that is not known. */
    public State stateOf(String member) {
        MemberRecord known = members.get(member);
        return known == null ? null : known.latest.state();
    }

    /** Times that this member was suspected and refuted it. */
    public long refutedSuspicions() {
        return refutedSuspicions;
    }

    /** When to look again at the latest, for a clock that goes by {@link #tick}. */
    public long nextTickNs() {
        return pingTarget != null && !pingReqSent
                ? Math.min(nextPeriodNs, pingReqAtNs)
                : nextPeriodNs;
    }
}
