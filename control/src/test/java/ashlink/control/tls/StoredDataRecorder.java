package ashlink.control.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;

/**
 * Writes the keys and certificates that {@link StoredKeysAndCertificatesTest} reads: of an
 * authority that was renewed once, of two routers, one of them from before, and of an operator.
 */
final class StoredDataRecorder {

    private static final Duration CENTURY = Duration.ofDays(36_525);

    private StoredDataRecorder() {}

    /** Writes the folder {@code keys} and the text of it into the folder that is named. */
    public static void main(String[] arguments) throws IOException, GeneralSecurityException {
        Path folder = Path.of(arguments[0]).resolve("keys");
        CertificateAuthority authority = new CertificateAuthority(folder);
        authority.renew(CENTURY);
        authority.issue("old", Set.of(Role.ROUTER), CENTURY);
        authority.renew(CENTURY);
        authority.issue("r1", Set.of(Role.ROUTER), CENTURY);
        authority.issue("ann", EnumSet.of(Role.OBSERVE, Role.DRAIN, Role.STOP), CENTURY);
        Files.writeString(folder.resolveSibling("keys.txt"), CertificateText.of(folder));
    }
}
