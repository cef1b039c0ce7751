package ashlink.router.core;

/** Creates attempts for tests of other packages. */
public final class TestAttempts {

    private TestAttempts() {}

    /** Returns an attempt that has not ended and reports its end to nobody. */
    public static Attempt open() {
        return new Attempt(1, 0, "engine", 0, -1, 0, () -> 0, Long.MAX_VALUE, (attempt, end) -> {});
    }
}
