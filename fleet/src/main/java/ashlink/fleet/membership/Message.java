package ashlink.fleet.membership;

import java.util.List;

/** A message between members; each piggybacks membership updates. */
public sealed interface Message {

    /** The piggybacked updates. */
    List<MembershipUpdate> updates();

    /** Requests an {@link Ack} with the same sequence number. */
    record Ping(long sequence, List<MembershipUpdate> updates) implements Message {}

    /** Requests the receiver to ping a target and to forward its ack. */
    record PingReq(long sequence, String target, List<MembershipUpdate> updates)
            implements Message {}

    /** Confirms that {@code member} is alive: the sender, or the target of a ping-req. */
    record Ack(long sequence, String member, List<MembershipUpdate> updates) implements Message {}
}
