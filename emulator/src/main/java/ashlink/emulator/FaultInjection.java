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
    private volatile Break how = Break.CLOSE;
    private volatile int times = Integer.MAX_VALUE;
    private volatile double lostAnswers;
    private volatile boolean hung;

    /** Breaks the given number of connections at a point, one each time the point is reached. */
    public synchronized void breakAt(Place at, Break by, int count) {
        place = at;
        how = by;
        times = count;
    }

    /** Removes all faults. */
    public synchronized void heal() {
        place = Place.NOWHERE;
        lostAnswers = 0;
        hung = false;
    }

    /** Loses a fraction of the responses after the work is done. */
    public void loseAnswers(double share) {
        lostAnswers = share;
    }

    /** Starts or ends a hang: connections and queries are accepted, and nothing is sent. */
    public void hang(boolean hangs) {
        hung = hangs;
    }

    double lostAnswers() {
        return lostAnswers;
    }

    boolean isHung() {
        return hung;
    }

    synchronized boolean isAt(Place at) {
        return place == at && times > 0;
    }

    /** Returns how to break the connection at a point and counts the break; null for no fault. */
    synchronized Break here(Place at) {
        if (place != at || times <= 0) {
            return null;
        }
        times--;
        return how;
    }
}
