package ashlink.wire;

/** Limit on the total memory of several buffers. Implementations are thread-safe. */
public interface Quota {

    /** Quota without a limit. */
    Quota NONE =
            new Quota() {
                @Override
                public boolean take(long bytes) {
                    return true;
                }

                @Override
                public void give(long bytes) {}
            };

    /**
     * Reserves the given number of bytes.
     *
     * @return false, with nothing reserved, if the limit would be exceeded
     */
    boolean take(long bytes);

    /** Returns reserved bytes to the quota. */
    void give(long bytes);
}
