package ashlink.emulator;

/** What is wrong with a stand-in, set by command while it runs. */
public final class FaultInjection {

    /** Places at which a connection can be made to break. */
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

    /** How it breaks there. */
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

    /** Breaks connections at that place, that many times. */
    public synchronized void breakAt(Place at, Break by, int count) {
        place = at;
        how = by;
        times = count;
    }

    /** Ends all that {@link #breakAt} began. */
    public synchronized void heal() {
        place = Place.NOWHERE;
        lostAnswers = 0;
        hung = false;
    }

    /** Loses that share of answers though the work is done. */
    public void loseAnswers(double share) {
        lostAnswers = share;
    }

    /** Takes connections and queries, and never says anything. */
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

    /** How to break here, or null. */
    synchronized Break here(Place at) {
        if (place != at || times <= 0) {
            return null;
        }
        times--;
        return how;
    }
}
