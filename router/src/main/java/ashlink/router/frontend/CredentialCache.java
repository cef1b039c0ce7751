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
 * Verifies user names and passwords. The password hash is slow by design, so the number of
 * concurrent verifications is limited. Successful verifications are cached under a keyed digest;
 * failed ones are not cached. Thread-safe.
 */
public final class CredentialCache {

    private static final int MAX_CONCURRENT_VERIFICATIONS = 4;
    private static final int MAX_CACHED = 10_000;
    private static final int SECRET_BYTES = 32;
    private static final String MAC_ALGORITHM = "HmacSHA256";

    private final Semaphore verifications = new Semaphore(MAX_CONCURRENT_VERIFICATIONS);
    private final Cache<String, Boolean> verified =
            Caffeine.newBuilder().maximumSize(MAX_CACHED).build();
    private final SecretKeySpec key;

    /** Creates an empty cache with a random secret. */
    public CredentialCache() {
        byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        key = new SecretKeySpec(secret, MAC_ALGORITHM);
    }

    /** Returns whether a user name and password are cached as verified; does not block. */
    public boolean isKnown(Map<String, UserSpec> users, String user, String password) {
        UserSpec spec = users.get(user);
        return spec != null
                && verified.getIfPresent(digest(user, password, spec.passwordHash())) != null;
    }

    /**
     * Returns whether a user name and password are valid. Slow and possibly blocking unless the
     * result is cached.
     */
    public boolean check(Map<String, UserSpec> users, String user, String password)
            throws InterruptedException {
        UserSpec spec = users.get(user);
        String hash = spec == null ? null : spec.passwordHash();
        String digest = digest(user, password, hash);
        if (spec != null && verified.getIfPresent(digest) != null) {
            return true;
        }
        verifications.acquire();
        try {
            boolean matches = Passwords.matches(password, hash);
            if (matches) {
                verified.put(digest, true);
            }
            return matches;
        } finally {
            verifications.release();
        }
    }

    private String digest(String user, String password, String hash) {
        try {
            Mac mac = Mac.getInstance(MAC_ALGORITHM);
            mac.init(key);
            for (String part : new String[] {user, password, String.valueOf(hash)}) {
                byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
                mac.update((byte) bytes.length);
                mac.update(bytes);
                mac.update((byte) 0);
            }
            return Base64.getEncoder().encodeToString(mac.doFinal());
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException(
                    "required algorithm " + MAC_ALGORITHM + " is not available", e);
        }
    }
}
