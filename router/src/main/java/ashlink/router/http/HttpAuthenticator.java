package ashlink.router.http;

import ashlink.config.RouterConfig.UserSpec;
import ashlink.router.frontend.CredentialCache;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Map;
import java.util.concurrent.Semaphore;

/**
 * Performs HTTP basic authentication with the users of the native protocol. A request without
 * credentials authenticates as the user {@code default} with an empty password. Verifying a
 * password is slow, so the number of concurrent verifications is limited, and a flood of logins
 * does not block other requests. Safe for use by several threads.
 */
final class HttpAuthenticator {

    private static final String SCHEME = "Basic ";
    private static final int MAX_CONCURRENT_CHECKS = 4;
    private static final int MAX_HEADER_CHARS = 4_096;

    /**
     * The result of an authentication.
     *
     * @param user the authenticated user; null if the credentials are wrong or were not checked
     * @param busy whether the credentials were not checked because too many checks are running
     */
    record AuthenticationResult(String user, boolean busy) {}

    private final CredentialCache credentials = new CredentialCache();
    private final Semaphore checkPermits = new Semaphore(MAX_CONCURRENT_CHECKS);

    AuthenticationResult check(Map<String, UserSpec> users, String authorization)
            throws InterruptedException {
        String user = "default";
        String password = "";
        if (authorization != null) {
            String userAndPassword = decodeCredentials(authorization);
            int colon = userAndPassword.indexOf(':');
            if (colon < 0) {
                return new AuthenticationResult(null, false);
            }
            user = userAndPassword.substring(0, colon);
            password = userAndPassword.substring(colon + 1);
        }
        if (credentials.isKnown(users, user, password)) {
            return new AuthenticationResult(user, false);
        }
        if (!checkPermits.tryAcquire()) {
            return new AuthenticationResult(null, true);
        }
        try {
            return new AuthenticationResult(
                    credentials.check(users, user, password) ? user : null, false);
        } finally {
            checkPermits.release();
        }
    }

    private static String decodeCredentials(String authorization) {
        if (authorization.length() > MAX_HEADER_CHARS
                || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return "";
        }
        try {
            return new String(
                    Base64.getDecoder().decode(authorization.substring(SCHEME.length()).trim()),
                    StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return "";
        }
    }
}
