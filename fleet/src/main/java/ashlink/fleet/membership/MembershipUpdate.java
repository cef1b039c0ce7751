package ashlink.fleet.membership;

/** What is said of a member, as far as its incarnation: only the member itself raises that. */
public record MembershipUpdate(String member, String address, long incarnation, State state) {

    /** What a member is held for. */
    public enum State {
        /** There. */
        ALIVE,
        /** Maybe gone: it did not answer, neither directly nor through others. */
        SUSPECT,
        /** Gone: the suspicion was not refuted in time. */
        DEAD
    }

    /**
     * True if this is to be believed where that other is known (the order of the paper; one that is
     * gone may come back).
     */
    boolean overrides(MembershipUpdate known) {
        if (incarnation != known.incarnation) {
            return incarnation > known.incarnation;
        }
        return state.compareTo(known.state) > 0;
    }
}
