package ashlink.control.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * Writes the keys and certificates that {@link StoredKeysAndCertificatesTest} reads: those of an
 * authority that was renewed once, of one router from before and one from after the renewal, and of
 * an operator.
 */
final class StoredDataRecorder {

    private static final Duration HUNDRED_YEARS = Duration.ofDays(36_525);

    private StoredDataRecorder() {}

    /**
     * Writes the directory {@code keys} and its description {@code keys.txt} into the directory
     * given as the first argument.
     */
    public static void main(String[] args) throws IOException, GeneralSecurityException {
        Path directory = Path.of(args[0]).resolve("keys");
        CertificateAuthority authority = new CertificateAuthority(directory);
        authority.renew(HUNDRED_YEARS);
        authority.issue("old", Set.of(Role.ROUTER), HUNDRED_YEARS);
        authority.renew(HUNDRED_YEARS);
        authority.issue("r1", Set.of(Role.ROUTER), HUNDRED_YEARS);
        authority.issue("ann", EnumSet.of(Role.OBSERVE, Role.DRAIN, Role.STOP), HUNDRED_YEARS);
        Files.writeString(directory.resolveSibling("keys.txt"), CertificateText.of(directory));
    }
}
