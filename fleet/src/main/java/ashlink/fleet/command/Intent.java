package ashlink.fleet.command;

import java.util.List;

/**
 * The action that an operator requests for an engine or router, in ascending order of strength: of
 * two concurrent commands the one with the stronger intent takes effect.
 */
public enum Intent {
    /** Withdraws the earlier command of the same owner. */
    NONE(0),
    /** The subject receives no new work. */
    DRAIN(1),
    /** The subject stops after its current work has completed. */
    STOP(2);

    private static final List<Intent> BY_CODE = List.of(NONE, DRAIN, STOP);

    private final int code;

    Intent(int code) {
        this.code = code;
    }

    /**
     * Returns the number that represents this intent in command logs and digests, in every build.
     */
    public int code() {
        return code;
    }

    /**
     * Returns the intent that a number represents.
     *
     * @throws IndexOutOfBoundsException if the number represents no intent
     */
    public static Intent ofCode(int code) {
        return BY_CODE.get(code);
    }
}
