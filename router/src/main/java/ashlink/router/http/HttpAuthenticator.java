package ashlink.router.http;

import ashlink.config.RouterConfig.UserSpec;
import ashlink.router.frontend.CredentialCache;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Semaphore;

/**
 * Basic authentication of the users of the native front. Who names nobody is the user {@code
 * default}. A check of a new password is dear: only a few threads of the server may be in one, so
 * that a flood of them costs the others nothing.
 */
final class HttpAuthenticator {

    private static final int AT_ONCE = 4;
    private static final int MOST_BYTES = 4_096;

    /** Who asks; {@code user} null: not known, or {@code busy} with the checks of others. */
    record AuthenticationResult(String user, boolean busy) {}

    private final CredentialCache logins = new CredentialCache();
    private final Semaphore checks = new Semaphore(AT_ONCE);

    AuthenticationResult check(Map<String, UserSpec> users, String authorization)
            throws InterruptedException {
        String user = "default";
        String password = "";
        if (authorization != null) {
            String pair = pair(authorization);
            int colon = pair.indexOf(':');
            if (colon < 0) {
                return new AuthenticationResult(null, false);
            }
            user = pair.substring(0, colon);
            password = pair.substring(colon + 1);
        }
        if (logins.isKnown(users, user, password)) {
            return new AuthenticationResult(user, false);
        }
        if (!checks.tryAcquire()) {
            return new AuthenticationResult(null, true);
        }
        try {
            return new AuthenticationResult(
                    logins.check(users, user, password) ? user : null, false);
        } finally {
            checks.release();
        }
    }

    private static String pair(String authorization) {
        if (authorization.length() > MOST_BYTES
                || !authorization.regionMatches(true, 0, "Basic ", 0, 6)) {
            return "";
        }
        try {
            return new String(
                    Base64.getDecoder().decode(authorization.substring(6).trim()),
                    StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return "";
        }
    }
}
