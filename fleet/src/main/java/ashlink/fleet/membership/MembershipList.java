package ashlink.fleet.membership;

import ashlink.fleet.membership.MembershipUpdate.State;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A member's view of the membership, and the updates that it disseminates. For each member, the
 * list keeps the update that overrides all other received ones. A suspected member is declared dead
 * if the suspicion is not refuted before its timeout. An update that reports this member as
 * suspected or dead is refuted by an update with a higher incarnation. Not thread-safe.
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

    /** Creates a list of this member and of seed members (addresses by name), assumed alive. */
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

    /** Returns the name of this member. */
    String self() {
        return self.member();
    }

    /** Returns the latest update of another member; null if there is none. */
    MembershipUpdate latest(String member) {
        MemberRecord memberRecord = members.get(member);
        return memberRecord == null ? null : memberRecord.latest;
    }

    /** Returns the latest update of every other member by name. */
    Map<String, MembershipUpdate> all() {
        Map<String, MembershipUpdate> all = new TreeMap<>();
        members.forEach((member, memberRecord) -> all.put(member, memberRecord.latest));
        return all;
    }

    /** Returns the names of all other members in a state, in alphabetical order. */
    List<String> inState(State state) {
        return members.entrySet().stream()
                .filter(entry -> entry.getValue().latest.state() == state)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Returns the names of all other members that are alive or suspected, in alphabetical order.
     */
    Collection<String> notDead() {
        return members.keySet().stream().filter(this::isNotDead).toList();
    }

    /** Returns whether a member is known and is alive or suspected. */
    boolean isNotDead(String member) {
        MembershipUpdate latest = latest(member);
        return latest != null && latest.state() != State.DEAD;
    }

    /** Adds the sender of a message as alive if it is unknown. */
    void addSender(String member, String address, long nowNs) {
        if (!members.containsKey(member)) {
            apply(alive(member, address), nowNs);
        }
    }

    /**
     * Applies an update if it overrides the latest one of its member. Ignores the death of an
     * unknown member.
     */
    void apply(MembershipUpdate update, long nowNs) {
        if (update.member().equals(self.member())) {
            applyToSelf(update);
            return;
        }
        MemberRecord memberRecord = members.get(update.member());
        if (memberRecord == null) {
            if (update.state() == State.DEAD) {
                return;
            }
            memberRecord = new MemberRecord(update);
            members.put(update.member(), memberRecord);
        } else if (update.overrides(memberRecord.latest)) {
            memberRecord.latest = update;
        } else {
            return;
        }
        if (update.state() == State.SUSPECT) {
            memberRecord.suspectUntilNs = nowNs + suspicionTimeoutNs();
        }
        disseminationBuffer.add(update);
    }

    /**
     * Refutes an update that reports this member as suspected or dead. Also raises the incarnation
     * of this member above the one that an earlier process of the same name used.
     */
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

    /** Marks a member as suspected if it is alive. */
    void suspect(String member, long nowNs) {
        MembershipUpdate latest = members.get(member).latest;
        if (latest.state() == State.ALIVE) {
            apply(latest.withState(State.SUSPECT), nowNs);
        }
    }

    /** Declares every member dead whose suspicion timeout has expired. */
    void expireSuspicions(long nowNs) {
        for (MemberRecord memberRecord : members.values()) {
            if (memberRecord.latest.state() == State.SUSPECT
                    && nowNs >= memberRecord.suspectUntilNs) {
                memberRecord.latest = memberRecord.latest.withState(State.DEAD);
                disseminationBuffer.add(memberRecord.latest);
            }
        }
    }

    /** Extends all suspicion timeouts by a duration. */
    void extendSuspicions(long durationNs) {
        members.values().forEach(memberRecord -> memberRecord.suspectUntilNs += durationNs);
    }

    /** Returns the updates to piggyback on the next message. */
    List<MembershipUpdate> piggybackedUpdates() {
        int maxTransmissions = (int) Math.ceil(config.disseminationFactor() * log2OfMembers());
        return disseminationBuffer.next(config.maxUpdatesPerMessage(), maxTransmissions);
    }

    /** Returns the number of suspicions and death reports that this member refuted. */
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
