package ashlink.fleet.membership;

import java.util.List;

/** A SWIM message between members; every message carries piggybacked membership updates. */
public sealed interface Message {

    /** Returns the piggybacked updates. */
    List<MembershipUpdate> updates();

    /** Requests an {@link Ack} with the same sequence number. */
    record Ping(long sequence, List<MembershipUpdate> updates) implements Message {}

    /** Requests the receiver to ping a target and to forward the target's ack to the sender. */
    record PingReq(long sequence, String target, List<MembershipUpdate> updates)
            implements Message {}

    /** Confirms that {@code member}, the sender or the target of a ping-req, is alive. */
    record Ack(long sequence, String member, List<MembershipUpdate> updates) implements Message {}
}
