package ashlink.fleet.membership;

/**
 * A report of the state of a member in one of its incarnations. Only the member itself raises its
 * incarnation.
 */
public record MembershipUpdate(String member, String address, long incarnation, State state) {

    /** The states of a member, in ascending order of precedence within an incarnation. */
    public enum State {
        /** The member acknowledges pings. */
        ALIVE,
        /** The member has acknowledged neither a direct nor an indirect ping. */
        SUSPECT,
        /** The member did not refute the suspicion before the timeout. */
        DEAD
    }

    /**
     * Returns whether this update replaces a known one of the same member: the higher incarnation
     * takes precedence, then the later state. Unlike in the SWIM paper, an update with a higher
     * incarnation overrides a dead state.
     */
    boolean overrides(MembershipUpdate known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }

    /** Returns an update of the same member and incarnation with another state. */
    MembershipUpdate withState(State newState) {
        return new MembershipUpdate(member, address, incarnation, newState);
    }
}
