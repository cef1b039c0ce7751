package ashlink.wire;

/** Limit on the total memory of several buffers. Implementations are thread-safe. */
public interface Quota {

    /** Quota without a limit. */
    Quota NONE =
            new Quota() {
                @Override
                public boolean reserve(long bytes) {
                    return true;
                }

                @Override
                public void release(long bytes) {}
            };

    /**
     * Reserves the given number of bytes.
     *
     * @return false, with nothing reserved, if the limit would be exceeded
     */
    boolean reserve(long bytes);

    /** Returns reserved bytes to the quota. */
    void release(long bytes);
}
