package ashlink.router.statement;

/**
 * The life of a statement whose client asks for its answer: under way, answered, its result
 * dropped, forgotten. Time only goes on; a statement is never brought back.
 */
public final class StatementLifecycle {

    /** Where it stands. */
    public enum State {
        /** Without a final answer. */
        RUNNING,
        /** Answered; what there is of a result can be fetched. */
        ANSWERED,
        /** Its result is dropped; it is answered as gone. */
        GONE,
        /** Nothing is known of it any more. */
        FORGOTTEN
    }

    /** What is to be done about it. */
    public enum Wish {
        /** Nothing yet. */
        NOTHING,
        /** Nobody asks for it: its work is to be called off. */
        ABANDON,
        /** Its result is to be dropped. */
        DISCARD,
        /** It is to be forgotten. */
        FORGET
    }

    /**
     * How long things last, in nanoseconds.
     *
     * @param unpolledNs a statement under way lasts that long without its client asking
     * @param keptNs an answer lasts that long without its client asking
     * @param lingerNs an answer whose end was fetched lasts that long, for a client that asks again
     * @param tombstoneNs that long a dropped one is told from one that never was
     */
    public record Terms(long unpolledNs, long keptNs, long lingerNs, long tombstoneNs) {}

    private final Terms terms;
    private State state = State.RUNNING;
    private long nowNs;
    private long askedNs;
    private long goneNs;
    private int waiting;
    private boolean endFetched;

    /** A statement that begins. */
    public StatementLifecycle(Terms terms, long nowNs) {
        this.terms = terms;
        this.nowNs = nowNs;
        this.askedNs = nowNs;
    }

    private void pass(long now) {
        nowNs = Math.max(nowNs, now);
    }

    /** Its client asks, and waits until {@link #waited}. */
    public void asked(long now) {
        pass(now);
        waiting++;
        askedNs = nowNs;
    }

    /** Its client no longer waits; {@code end} true if it was given the end of the answer. */
    public void waited(boolean end, long now) {
        pass(now);
        waiting = Math.max(0, waiting - 1);
        askedNs = nowNs;
        endFetched |= end;
    }

    /** It has its final answer; false if it was over already. */
    public boolean answered(long now) {
        pass(now);
        if (state != State.RUNNING) {
            return false;
        }
        state = State.ANSWERED;
        askedNs = Math.max(askedNs, nowNs); // the time to fetch it starts with the answer
        return true;
    }

    /** Its result is dropped: by its client, or by a wish. */
    public void discarded(long now) {
        pass(now);
        if (state == State.RUNNING || state == State.ANSWERED) {
            state = State.GONE;
            goneNs = nowNs;
        }
    }

    /** What is to be done now; whoever does it says so. */
    public Wish wish(long now) {
        pass(now);
        return switch (state) {
            case RUNNING ->
                    waiting == 0 && nowNs - askedNs >= terms.unpolledNs()
                            ? Wish.ABANDON
                            : Wish.NOTHING;
            case ANSWERED ->
                    waiting == 0
                                    && nowNs - askedNs
                                            >= (endFetched ? terms.lingerNs() : terms.keptNs())
                            ? Wish.DISCARD
                            : Wish.NOTHING;
            case GONE -> nowNs - goneNs >= terms.tombstoneNs() ? Wish.FORGET : Wish.NOTHING;
            case FORGOTTEN -> Wish.NOTHING;
        };
    }

    /** Nothing is known of it from here on. */
    public void forgotten() {
        state = State.FORGOTTEN;
    }

    /** Where it stands. */
    public State state() {
        return state;
    }

    /** When its result was dropped; the oldest are forgotten first where there are too many. */
    public long goneNs() {
        return goneNs;
    }
}
