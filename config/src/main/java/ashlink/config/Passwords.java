package ashlink.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import org.bouncycastle.crypto.generators.OpenBSDBCrypt;

/** Salted hashes of passwords: bcrypt, by a library. */
public final class Passwords {

    /** Cost of new hashes: some tens of milliseconds each. */
    public static final int COST = 10;

    private static final int SALT_BYTES = 16;

    /** Longest password that bcrypt tells apart. */
    private static final int MOST_BYTES = 72;

    private static final SecureRandom RANDOM = new SecureRandom();

    /** Checked against where the user is unknown, so that the time tells nothing. */
    private static final String NOBODY = hash("nobody", COST);

    private Passwords() {}

    /** The hash of a password, with a new salt; {@code cost} 4 to 31. */
    public static String hash(String password, int cost) {
        byte[] salt = new byte[SALT_BYTES];
        RANDOM.nextBytes(salt);
        return OpenBSDBCrypt.generate(bounded(password), salt, cost);
    }

    /** True for a text that is such a hash. */
    public static boolean isHash(String text) {
        return text.matches("\\$2[aby]\\$[0-3][0-9]\\$[./A-Za-z0-9]{53}");
    }

    /**
     * Checks a password; {@code hash} null is an unknown user, empty is a user whose password is
     * empty.
     */
    public static boolean matches(String password, String hash) {
        if (hash == null) {
            OpenBSDBCrypt.checkPassword(NOBODY, bounded(password));
            return false;
        }
        if (hash.isEmpty()) {
            return MessageDigest.isEqual(password.getBytes(StandardCharsets.UTF_8), new byte[0]);
        }
        return OpenBSDBCrypt.checkPassword(hash, bounded(password));
    }

    private static char[] bounded(String password) {
        String text = password;
        while (text.getBytes(StandardCharsets.UTF_8).length > MOST_BYTES) {
            text = text.substring(0, text.length() - 1);
        }
        return text.toCharArray();
    }
}
