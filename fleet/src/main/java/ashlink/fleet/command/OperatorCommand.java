package ashlink.fleet.command;

import java.util.Comparator;
import java.util.Objects;

/**
 * What one operator wants of one subject. Each owner has a say of its own on each subject; of an
 * owner's notices on a subject the one of the highest revision holds. A revision is one more than
 * the highest that its issuer knew of: it is no time, so clocks may be apart. Two of the same
 * revision were issued on different sides of a cut: then the stronger intent holds, on every router
 * the same.
 *
 * @param subject {@code engine:NAME} or {@code router:NAME}
 * @param owner whose say it is
 * @param by who issued it: the owner, or who overruled it
 * @param why for people
 */
public record OperatorCommand(
        String subject, String owner, long revision, Intent intent, String by, String why)
        implements Comparable<OperatorCommand> {

    /** Longest text of any part. */
    public static final int MAX_FIELD_CHARS = 256;

    private static final Comparator<OperatorCommand> ORDER =
            Comparator.comparingLong(OperatorCommand::revision)
                    .thenComparing(OperatorCommand::intent)
                    .thenComparing(OperatorCommand::by)
                    .thenComparing(OperatorCommand::why);

    /** Checks the form. */
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

    /** The subject that is an engine. */
    public static String engine(String name) {
        return "engine:" + name;
    }

    /** The subject that is a router. */
    public static String router(String name) {
        return "router:" + name;
    }

    /**
     * A hash for who compares: the same in every process, which that of a record with an
     * enumeration is not.
     */
    int digest() {
        return Objects.hash(subject, owner, revision, intent.code(), by, why);
    }

    /** Which of two notices of the same owner and subject holds: the greater. */
    @Override
    public int compareTo(OperatorCommand other) {
        return ORDER.compare(this, other);
    }
}
