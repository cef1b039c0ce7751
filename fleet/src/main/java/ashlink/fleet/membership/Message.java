package ashlink.fleet.membership;

import java.util.List;

/** What members say to each other; each carries rumors. */
public sealed interface Message {

    /** Rumors that ride along. */
    List<MembershipUpdate> updates();

    /** Are you there? */
    record Ping(long sequence, List<MembershipUpdate> updates) implements Message {}

    /** Ask that one for me. */
    record PingReq(long sequence, String target, List<MembershipUpdate> updates)
            implements Message {}

    /** Yes, or: that one is. {@code member} is the member that is there. */
    record Ack(long sequence, String member, List<MembershipUpdate> updates) implements Message {}
}
