package ashlink.fleet.membership;

/**
 * The state of a member in one of its incarnations. Only the member itself raises its incarnation.
 */
public record MembershipUpdate(String member, String address, long incarnation, State state) {

    /** A member's state, in ascending order of precedence within an incarnation. */
    public enum State {
        /** The member acknowledges pings. */
        ALIVE,
        /** The member acknowledged neither a direct nor an indirect ping. */
        SUSPECT,
        /** The suspicion was not refuted in time. */
        DEAD
    }

    /**
     * Whether this update replaces a known one of the same member: the higher incarnation wins,
     * then the later state. Unlike in the paper, a higher incarnation revives a dead member.
     */
    boolean overrides(MembershipUpdate known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }

    /** The same member and incarnation in another state. */
    MembershipUpdate withState(State newState) {
        return new MembershipUpdate(member, address, incarnation, newState);
    }
}
