package ashlink.fleet.command;

import java.util.List;

/**
 * What an operator wants of a subject, in ascending order of strength: of two concurrent commands
 * the one with the stronger intent wins.
 */
public enum Intent {
    /** Withdraws the owner's earlier command. */
    NONE(0),
    /** The subject gets no new work. */
    DRAIN(1),
    /** The subject stops once its work is done. */
    STOP(2);

    private static final List<Intent> BY_CODE = List.of(NONE, DRAIN, STOP);

    private final int code;

    Intent(int code) {
        this.code = code;
    }

    /** The number of this intent in command logs and digests; the same in every build. */
    public int code() {
        return code;
    }

    /**
     * The intent with that number.
     *
     * @throws IndexOutOfBoundsException if no intent has it
     */
    public static Intent ofCode(int code) {
        return BY_CODE.get(code);
    }
}
