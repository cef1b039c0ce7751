package ashlink.wire;

/** Memory that many buffers share. */
public interface Quota {

    /** Grants all that is asked for. */
    Quota NONE =
            new Quota() {
                @Override
                public boolean take(long bytes) {
                    return true;
                }

                @Override
                public void give(long bytes) {}
            };

    /** Takes that many bytes, or none where they are not there. */
    boolean take(long bytes);

    /** Gives bytes back. */
    void give(long bytes);
}
