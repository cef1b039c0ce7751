package ashlink.fleet.membership;

import java.util.List;

/** What members say to each other; each carries rumors. */
public sealed interface Message {

    /** Rumors that ride along. */
    List<MembershipUpdate> rumors();

    /** Are you there? */
    record Ping(long number, List<MembershipUpdate> rumors) implements Message {}

    /** Ask that one for me. */
    record PingFor(long number, String target, List<MembershipUpdate> rumors) implements Message {}

    /** Yes, or: that one is. {@code of} is the member that is there. */
    record Ack(long number, String of, List<MembershipUpdate> rumors) implements Message {}
}
