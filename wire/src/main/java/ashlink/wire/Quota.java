package ashlink.wire;

/** A limit on the memory that all buffers take together. Implementations are thread-safe. */
public interface Quota {

    /** No limit. */
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
     * Takes that many bytes.
     *
     * @return false, with nothing taken, if the limit would be exceeded
     */
    boolean take(long bytes);

    /** Returns bytes that were taken. */
    void give(long bytes);
}
