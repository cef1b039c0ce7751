package ashlink.emulator;

/** Faults of an emulated engine, set and removed while the engine runs. */
public final class FaultInjection {

    /** Points in a connection's life at which a fault can be injected. */
    public enum Place {
        NOWHERE,
        ACCEPT,
        HELLO,
        QUERY,
        HEADER,
        INSERT,
        RUN,
        ANSWER,
        END
    }

    /** Ways in which a connection breaks. */
    public enum Break {
        CLOSE,
        SILENCE,
        GARBAGE,
        CORRUPT_FRAME,
        HALF_PACKET
    }

    private volatile Place place = Place.NOWHERE;
    private volatile Break breakKind = Break.CLOSE;
    private volatile int remainingBreaks = Integer.MAX_VALUE;
    private volatile double lostAnswerFraction;
    private volatile boolean hung;

    /** Breaks the given number of connections at a point, one each time the point is reached. */
    public synchronized void breakAt(Place point, Break kind, int count) {
        place = point;
        breakKind = kind;
        remainingBreaks = count;
    }

    /** Removes all faults. */
    public synchronized void heal() {
        place = Place.NOWHERE;
        lostAnswerFraction = 0;
        hung = false;
    }

    /** Loses a fraction of the responses after the work is done. */
    public void loseAnswers(double fraction) {
        lostAnswerFraction = fraction;
    }

    /** Starts or ends a hang: connections and queries are accepted, and nothing is sent. */
    public void hang(boolean value) {
        hung = value;
    }

    double lostAnswerFraction() {
        return lostAnswerFraction;
    }

    boolean isHung() {
        return hung;
    }

    synchronized boolean isPending(Place point) {
        return place == point && remainingBreaks > 0;
    }

    /** Returns how to break the connection at a point and counts the break; null for no fault. */
    synchronized Break nextBreak(Place point) {
        if (place != point || remainingBreaks <= 0) {
            return null;
        }
        remainingBreaks--;
        return breakKind;
    }
}
