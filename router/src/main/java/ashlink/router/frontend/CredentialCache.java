package ashlink.router.frontend;

import ashlink.config.Passwords;
import ashlink.config.RouterConfig.UserSpec;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Semaphore;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Checks users and passwords. A check is dear on purpose, so few run at once, and one that
 * succeeded is remembered under a keyed digest; one that failed never is.
 */
public final class CredentialCache {

    private static final int AT_ONCE = 4;
    private static final int REMEMBERED = 10_000;
    private static final String MAC = "HmacSHA256";

    private final Semaphore running = new Semaphore(AT_ONCE);
    private final Cache<String, Boolean> good =
            Caffeine.newBuilder().maximumSize(REMEMBERED).build();
    private final SecretKeySpec key;

    /** Remembers nothing yet. */
    public CredentialCache() {
        byte[] secret = new byte[32];
        new SecureRandom().nextBytes(secret);
        key = new SecretKeySpec(secret, MAC);
    }

    /** True if a user and password are right and were checked before: costs next to nothing. */
    public boolean isKnown(Map<String, UserSpec> users, String user, String password) {
        UserSpec spec = users.get(user);
        return spec != null
                && good.getIfPresent(digest(user, password, spec.passwordHash())) != null;
    }

    /** True if a user and password are right; may wait for its turn, and takes its time. */
    public boolean check(Map<String, UserSpec> users, String user, String password)
            throws InterruptedException {
        UserSpec spec = users.get(user);
        String hash = spec == null ? null : spec.passwordHash();
        String digest = digest(user, password, hash);
        if (spec != null && good.getIfPresent(digest) != null) {
            return true;
        }
        running.acquire();
        try {
            boolean matches = Passwords.matches(password, hash);
            if (matches) {
                good.put(digest, true);
            }
            return matches;
        } finally {
            running.release();
        }
    }

    private String digest(String user, String password, String hash) {
        try {
            Mac mac = Mac.getInstance(MAC);
            mac.init(key);
            for (String part : new String[] {user, password, String.valueOf(hash)}) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                mac.update((byte) bytes.length);
                mac.update(bytes);
                mac.update((byte) 0);
            }
            return Base64.getEncoder().encodeToString(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(e);
        }
    }
}
