package ashlink.fleet.command;

import java.util.Comparator;
import java.util.Objects;

/**
 * What one operator wants of one subject. Each owner has its own command per subject; the one of
 * the highest revision is in force. A revision is a logical clock: one more than the highest that
 * its issuer knew. Two of the same revision were issued concurrently, then the stronger intent wins
 * on every router.
 *
 * @param subject {@code engine:NAME} or {@code router:NAME}
 * @param owner the operator to whom the command belongs
 * @param by the issuer: the owner, or who overrides it
 * @param why reason, for people
 */
public record OperatorCommand(
        String subject, String owner, long revision, Intent intent, String by, String why)
        implements Comparable<OperatorCommand> {

    /** Most characters of each text. */
    public static final int MAX_FIELD_CHARS = 256;

    private static final Comparator<OperatorCommand> ORDER =
            Comparator.comparingLong(OperatorCommand::revision)
                    .thenComparing(OperatorCommand::intent)
                    .thenComparing(OperatorCommand::by)
                    .thenComparing(OperatorCommand::why);

    /**
     * Checks the parts.
     *
     * @throws IllegalArgumentException if one is malformed or too long
     */
    public OperatorCommand {
        if (!subject.matches("(engine|router):.+") || owner.isEmpty() || revision < 1) {
            throw new IllegalArgumentException(
                    "a notice on " + subject + " of " + owner + ", revision " + revision);
        }
        for (String text : new String[] {subject, owner, by, why}) {
            if (text.length() > MAX_FIELD_CHARS) {
                throw new IllegalArgumentException(
                        "a notice with " + text.length() + " characters in one part");
            }
        }
    }

    /** The subject of an engine. */
    public static String engine(String name) {
        return "engine:" + name;
    }

    /** The subject of a router. */
    public static String router(String name) {
        return "router:" + name;
    }

    /** A hash that is the same in every process and build. */
    int digest() {
        return Objects.hash(subject, owner, revision, intent.code(), by, why);
    }

    /** Total order of the commands of one owner on one subject: the greatest is in force. */
    @Override
    public int compareTo(OperatorCommand other) {
        return ORDER.compare(this, other);
    }
}
