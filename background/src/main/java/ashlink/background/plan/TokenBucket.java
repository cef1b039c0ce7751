package ashlink.background.plan;

/**
 * A token bucket. In any window of {@code w} seconds, the bucket grants at most {@code capacity +
 * rate * w} tokens, even if the clock jumps or goes back. Usage that cannot be requested in advance
 * is charged afterwards and may make the balance of the bucket negative.
 *
 * <p>Not thread-safe. Times are readings of one clock in nanoseconds; a reading earlier than the
 * last one refills nothing.
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;

    private final double capacity;
    private final double tokensPerSecond;
    private double rateFraction = 1;
    private double available;
    private long lastRefillNs;
    private boolean started;

    /**
     * Creates a full bucket.
     *
     * @param capacity maximum amount of one grant, above 0
     * @param tokensPerSecond refill rate, above 0
     * @throws IllegalArgumentException if an argument is not above 0
     */
    public TokenBucket(double capacity, double tokensPerSecond) {
        if (!(capacity > 0 && tokensPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "invalid token bucket: capacity="
                            + capacity
                            + " tokensPerSecond="
                            + tokensPerSecond
                            + ": both must be above 0");
        }
        this.capacity = capacity;
        this.tokensPerSecond = tokensPerSecond;
        this.available = capacity;
    }

    private void refill(long nowNs) {
        if (started && nowNs > lastRefillNs) {
            double refilled = tokensPerSecond * rateFraction * (nowNs - lastRefillNs);
            available = Math.min(capacity, available + refilled / NANOS_PER_SECOND);
        }
        // If the clock goes back, the same interval must not be refilled twice.
        lastRefillNs = started ? Math.max(lastRefillNs, nowNs) : nowNs;
        started = true;
    }

    /** Sets the fraction of the refill rate that applies from now on, above 0 and at most 1. */
    void setRateFraction(double fraction, long nowNs) {
        refill(nowNs);
        rateFraction = fraction;
    }

    /**
     * Takes the amount if enough tokens are available. A caller that needs more than the capacity
     * makes several calls.
     *
     * @return false if too few tokens are available
     */
    public boolean tryAcquire(double amount, long nowNs) {
        refill(nowNs);
        if (amount > available) {
            return false;
        }
        available -= amount;
        return true;
    }

    /** Charges an amount that is already used; the balance may become negative. */
    public void charge(double amount, long nowNs) {
        refill(nowNs);
        available -= amount;
    }

    /** Puts unused tokens back; the balance never exceeds the capacity. */
    public void refund(double amount, long nowNs) {
        refill(nowNs);
        available = Math.min(capacity, available + amount);
    }

    /**
     * Returns the time in nanoseconds until the amount may be available: 0 if available now, at
     * least 1 otherwise.
     */
    public long waitNs(double amount, long nowNs) {
        refill(nowNs);
        double missing = amount - available;
        return missing <= 0
                ? 0
                : (long) Math.ceil(missing / (tokensPerSecond * rateFraction) * NANOS_PER_SECOND)
                        + 1;
    }

    /** Returns the maximum amount of one grant. */
    public double capacity() {
        return capacity;
    }
}
