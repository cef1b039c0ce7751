package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a member knows of itself and the others, and the updates that it disseminates. Per member
 * the update that overrides all others seen is kept; a suspicion that is not refuted before its
 * timeout becomes a death; a suspicion or death of this member is refuted with a higher
 * incarnation. Not thread-safe.
 */
final class MembershipList {

    private static final class MemberRecord {
        MembershipUpdate latest;
        long suspectUntilNs;

        MemberRecord(MembershipUpdate latest) {
            this.latest = latest;
        }
    }

    private final SwimConfig config;
    private final Map<String, MemberRecord> members = new TreeMap<>();
    private final DisseminationBuffer disseminationBuffer = new DisseminationBuffer();
    private MembershipUpdate self;
    private long refutedSuspicions;

    /** A list of this member and of seeds, addresses by name, that are assumed alive. */
    MembershipList(String name, String address, Map<String, String> seeds, SwimConfig config) {
        this.config = config;
        this.self = new MembershipUpdate(name, address, 0, State.ALIVE);
        seeds.forEach(
                (member, seedAddress) -> {
                    if (!member.equals(name)) {
                        members.put(member, new MemberRecord(alive(member, seedAddress)));
                    }
                });
        disseminationBuffer.add(self);
    }

    private static MembershipUpdate alive(String member, String address) {
        return new MembershipUpdate(member, address, 0, State.ALIVE);
    }

    /** The name of this member. */
    String self() {
        return self.member();
    }

    /** The latest update of a member; null if it is unknown or this member itself. */
    MembershipUpdate latest(String member) {
        MemberRecord known = members.get(member);
        return known == null ? null : known.latest;
    }

    /** The latest update of each member but this one, by name. */
    Map<String, MembershipUpdate> all() {
        Map<String, MembershipUpdate> all = new TreeMap<>();
        members.forEach((member, known) -> all.put(member, known.latest));
        return all;
    }

    /** The names of all members in that state, in order. */
    List<String> inState(State state) {
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().latest.state() == state)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** The names of all members that are alive or suspected, in order. */
    Collection<String> notDead() {
        return members.keySet().stream().filter(this::isNotDead).toList();
    }

    /** Whether a member is known and alive or suspected. */
    boolean isNotDead(String member) {
        MembershipUpdate latest = latest(member);
        return latest != null && latest.state() != State.DEAD;
    }

    /** Adds a member that sent a message, if it is unknown. */
    void addSender(String member, String address, long nowNs) {
        if (!members.containsKey(member)) {
            apply(alive(member, address), nowNs);
        }
    }

    /** Applies a received update. */
    void apply(MembershipUpdate update, long nowNs) {
        if (update.member().equals(self.member())) {
            applyToSelf(update);
            return;
        }
        MemberRecord known = members.get(update.member());
        if (known == null) {
            if (update.state() == State.DEAD) {
                return;
            }
            known = new MemberRecord(update);
            members.put(update.member(), known);
        } else if (update.overrides(known.latest)) {
            known.latest = update;
        } else {
            return;
        }
        if (update.state() == State.SUSPECT) {
            known.suspectUntilNs = nowNs + suspicionTimeoutNs();
        }
        disseminationBuffer.add(update);
    }

    /** Refutes a suspicion or death; takes an incarnation above that of an earlier process. */
    private void applyToSelf(MembershipUpdate update) {
        boolean refutes =
                update.incarnation() >= self.incarnation() && update.state() != State.ALIVE;
        if (refutes) {
            refutedSuspicions++;
        }
        if (refutes || update.incarnation() > self.incarnation()) {
            self =
                    new MembershipUpdate(
                            self.member(), self.address(), update.incarnation() + 1, State.ALIVE);
            disseminationBuffer.add(self);
        }
    }

    /** Suspects a member if it is alive. */
    void suspect(String member, long nowNs) {
        MembershipUpdate latest = members.get(member).latest;
        if (latest.state() == State.ALIVE) {
            apply(latest.withState(State.SUSPECT), nowNs);
        }
    }

    /** Declares the members dead whose suspicion timed out. */
    void expireSuspicions(long nowNs) {
        for (MemberRecord known : members.values()) {
            if (known.latest.state() == State.SUSPECT && nowNs >= known.suspectUntilNs) {
                known.latest = known.latest.withState(State.DEAD);
                disseminationBuffer.add(known.latest);
            }
        }
    }

    /** Extends all suspicion timeouts by a time. */
    void extendSuspicions(long byNs) {
        members.values().forEach(known -> known.suspectUntilNs += byNs);
    }

    /** The updates to piggyback on the next message. */
    List<MembershipUpdate> piggybackedUpdates() {
        int maxTransmissions = (int) Math.ceil(config.disseminationFactor() * log2OfMembers());
        return disseminationBuffer.next(config.maxUpdatesPerMessage(), maxTransmissions);
    }

    /** Number of suspicions and deaths of this member that it refuted. */
    long refutedSuspicions() {
        return refutedSuspicions;
    }

    private double log2OfMembers() {
        return Math.log(members.size() + 2.0) / Math.log(2);
    }

    private long suspicionTimeoutNs() {
        return (long) (config.suspicionFactor() * log2OfMembers() * config.periodNs());
    }
}
