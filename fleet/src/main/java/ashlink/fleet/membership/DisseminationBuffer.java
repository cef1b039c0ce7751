package ashlink.fleet.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Buffer of membership updates that are waiting to be piggybacked on messages, at most one per
 * member. Each update is sent a bounded number of times; the updates sent least often are sent
 * first. Not thread-safe.
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

    /** Adds an update and discards an earlier update of the same member. */
    void add(MembershipUpdate update) {
        pendingByMember.put(update.member(), new PendingUpdate(update));
    }

    /**
     * Returns the updates to piggyback on the next message and counts them as sent.
     *
     * @param maxUpdates maximum number of updates in the message
     * @param maxTransmissions number of messages after which an update is removed
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
