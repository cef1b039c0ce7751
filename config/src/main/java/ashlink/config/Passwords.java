package ashlink.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.regex.Pattern;
import org.bouncycastle.crypto.generators.OpenBSDBCrypt;

/** Creates and verifies salted bcrypt hashes of passwords. Thread-safe. */
public final class Passwords {

    /**
     * Cost of new hashes: the binary logarithm of the number of rounds. A hash takes tens of
     * milliseconds.
     */
    public static final int COST = 10;

    private static final int SALT_BYTES = 16;

    /** Longest password in bytes; bcrypt ignores the bytes beyond this length. */
    private static final int MAX_PASSWORD_BYTES = 72;

    private static final Pattern HASH =
            Pattern.compile("\\$2[aby]\\$[0-3][0-9]\\$[./A-Za-z0-9]{53}");
    private static final SecureRandom RANDOM = new SecureRandom();

    /**
     * Hash that the password of an unknown user is compared with, so that the response time does
     * not reveal which users exist.
     */
    private static final String UNKNOWN_USER_HASH = hash("nobody", COST);

    private Passwords() {}

    /**
     * Returns the hash of a password with a new salt.
     *
     * @param cost binary logarithm of the number of rounds, from 4 to 31
     */
    public static String hash(String password, int cost) {
        byte[] salt = new byte[SALT_BYTES];
        RANDOM.nextBytes(salt);
        return OpenBSDBCrypt.generate(truncate(password), salt, cost);
    }

    /** Returns whether a text has the format of a hash. */
    public static boolean isHash(String text) {
        return HASH.matcher(text).matches();
    }

    /**
     * Returns whether a password matches a hash.
     *
     * @param hash hash of the user; null for an unknown user, empty for an empty password
     */
    public static boolean matches(String password, String hash) {
        if (hash == null) {
            OpenBSDBCrypt.checkPassword(UNKNOWN_USER_HASH, truncate(password));
            return false;
        }
        if (hash.isEmpty()) {
            return MessageDigest.isEqual(password.getBytes(StandardCharsets.UTF_8), new byte[0]);
        }
        return OpenBSDBCrypt.checkPassword(hash, truncate(password));
    }

    private static char[] truncate(String password) {
        String text = password;
        while (text.getBytes(StandardCharsets.UTF_8).length > MAX_PASSWORD_BYTES) {
            text = text.substring(0, text.length() - 1);
        }
        return text.toCharArray();
    }
}
