package ashlink.fleet.command;

import java.util.Comparator;
import java.util.Objects;

/**
 * An operator's command for an engine or router. Each owner has at most one command in force per
 * subject: the one with the highest revision. The revision is a logical clock: one more than the
 * highest revision known to the issuer. Two commands with the same revision were issued
 * concurrently; every router then applies the one with the stronger intent.
 *
 * @param subject the engine or router, as {@code engine:NAME} or {@code router:NAME}
 * @param owner the operator to whom the command belongs
 * @param issuer the operator who issued the command: the owner, or another who overrides the owner
 * @param reason free-text reason given by the issuer
 */
public record OperatorCommand(
        String subject, String owner, long revision, Intent intent, String issuer, String reason)
        implements Comparable<OperatorCommand> {

    /** Maximum length of each text field, in characters. */
    public static final int MAX_FIELD_CHARS = 256;

    private static final Comparator<OperatorCommand> ORDER =
            Comparator.comparingLong(OperatorCommand::revision)
                    .thenComparing(OperatorCommand::intent)
                    .thenComparing(OperatorCommand::issuer)
                    .thenComparing(OperatorCommand::reason);

    /**
     * Validates the fields.
     *
     * @throws IllegalArgumentException if a field is malformed or too long
     */
    public OperatorCommand {
        if (!subject.matches("(engine|router):.+") || owner.isEmpty() || revision < 1) {
            throw new IllegalArgumentException(
                    "invalid command with subject \""
                            + subject
                            + "\", owner \""
                            + owner
                            + "\", revision "
                            + revision
                            + ": expected subject engine:NAME or router:NAME, a non-empty owner,"
                            + " revision at least 1");
        }
        for (String field : new String[] {subject, owner, issuer, reason}) {
            if (field.length() > MAX_FIELD_CHARS) {
                throw new IllegalArgumentException(
                        "invalid command with a field of "
                                + field.length()
                                + " characters: at most "
                                + MAX_FIELD_CHARS);
            }
        }
    }

    /** Returns the subject that denotes an engine. */
    public static String engine(String name) {
        return "engine:" + name;
    }

    /** Returns the subject that denotes a router. */
    public static String router(String name) {
        return "router:" + name;
    }

    /** Returns a hash of all fields that is the same in every process and build. */
    int digest() {
        return Objects.hash(subject, owner, revision, intent.code(), issuer, reason);
    }

    /**
     * Compares commands of one owner and subject in a total order; the greatest command is in
     * force.
     */
    @Override
    public int compareTo(OperatorCommand other) {
        return ORDER.compare(this, other);
    }
}
