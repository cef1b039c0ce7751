package ashlink.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Membership updates that are still to be piggybacked on messages, at most one a member. Each is
 * sent a bounded number of times, those sent least often first. Not thread-safe.
 */
final class DisseminationBuffer {

    private static final class PendingUpdate {
        final MembershipUpdate update;
        int transmissions;

        PendingUpdate(MembershipUpdate update) {
            this.update = update;
        }
    }

    private final Map<String, PendingUpdate> pendingByMember = new TreeMap<>();

    /** Adds an update; it replaces an earlier one of the same member. */
    void add(MembershipUpdate update) {
        pendingByMember.put(update.member(), new PendingUpdate(update));
    }

    /**
     * The updates for the next message.
     *
     * @param maxUpdates most updates in the message
     * @param maxTransmissions number of messages after which an update is dropped
     */
    List<MembershipUpdate> next(int maxUpdates, int maxTransmissions) {
        List<PendingUpdate> chosen =
                pendingByMember.values().stream()
                        .sorted(
                                Comparator.comparingInt(
                                                (PendingUpdate pending) -> pending.transmissions)
                                        .thenComparing(pending -> pending.update.member()))
                        .limit(maxUpdates)
                        .toList();
        List<MembershipUpdate> updates = new ArrayList<>();
        for (PendingUpdate pending : chosen) {
            updates.add(pending.update);
            pending.transmissions++;
            if (pending.transmissions >= maxTransmissions) {
                pendingByMember.remove(pending.update.member());
            }
        }
        return updates;
    }
}
