package ashlink.background.plan;

/**
 * An amount that comes back at a rate, up to a most: in any window of w seconds no more than {@code
 * most + rate * w} is given, whatever the clock does. Use that could not be asked for beforehand is
 * charged and leaves a debt.
 */
public final class Budget {

    private static final double NS = 1e9;

    private final double most;
    private final double perSecond;
    private double share = 1;
    private double left;
    private long lastNs;
    private boolean started;

    /** A full budget. */
    public Budget(double most, double perSecond) {
        if (!(most > 0 && perSecond > 0)) {
            throw new IllegalArgumentException(
                    "a budget of " + most + " and " + perSecond + " a second");
        }
        this.most = most;
        this.perSecond = perSecond;
        this.left = most;
    }

    private void pass(long nowNs) {
        if (started && nowNs > lastNs) {
            left = Math.min(most, left + perSecond * share * (nowNs - lastNs) / NS);
        }
        lastNs =
                started
                        ? Math.max(lastNs, nowNs)
                        : nowNs; // a clock that goes back gives nothing twice
        started = true;
    }

    /** From now on only that share of the rate comes back. */
    void share(double of, long nowNs) {
        pass(nowNs);
        share = of;
    }

    /**
     * Gives the amount if it is there; what is over the most is asked for in parts by the caller.
     */
    public boolean take(double amount, long nowNs) {
        pass(nowNs);
        if (amount > left) {
            return false;
        }
        left -= amount;
        return true;
    }

    /** Charges what was used without asking. */
    public void charge(double amount, long nowNs) {
        pass(nowNs);
        left -= amount;
    }

    /** Gives back what was asked for and not used. */
    public void giveBack(double amount, long nowNs) {
        pass(nowNs);
        left = Math.min(most, left + amount);
    }

    /** Time from now until that amount can be there, at least 1 ns where it is not. */
    public long waitNs(double amount, long nowNs) {
        pass(nowNs);
        double missing = amount - left;
        return missing <= 0 ? 0 : (long) Math.ceil(missing / (perSecond * share) * NS) + 1;
    }

    /** The largest amount that is given at once. */
    public double most() {
        return most;
    }
}
