package ashlink.control.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.Signature;
import java.security.cert.CertPath;
import java.security.cert.CertPathValidator;
import java.security.cert.CertPathValidatorException;
import java.security.cert.CertificateFactory;
import java.security.cert.PKIXParameters;
import java.security.cert.TrustAnchor;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.Date;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that keys and certificates that an earlier build issued are still read. The files are in
 * {@code src/test/resources/stored/keys}; the README next to them describes how they were made.
 *
 * <p>No test depends on the clock of the machine: certificate chains are validated at a fixed time,
 * and of newly issued certificates only the signature is verified.
 */
class StoredKeysAndCertificatesTest {

    private static final Date VALIDATION_TIME = Date.from(Instant.parse("2040-01-01T00:00:00Z"));

    private static Path storedPath(String name) throws URISyntaxException {
        return Path.of(StoredKeysAndCertificatesTest.class.getResource("/stored").toURI())
                .resolve(name);
    }

    private static Path copyKeys(Path directory) throws IOException, URISyntaxException {
        try (Stream<Path> files = Files.list(storedPath("keys"))) {
            for (Path file : files.toList()) {
                Files.copy(file, directory.resolve(file.getFileName().toString()));
            }
        }
        return directory;
    }

    private static X509Certificate certificate(Path directory, String name)
            throws IOException, GeneralSecurityException {
        return Pem.certificates(directory.resolve(name + ".crt")).get(0);
    }

    /** Validates at a fixed time that an authority trusted in a directory issued a certificate. */
    private static void validateTrust(Path directory, String name)
            throws IOException, GeneralSecurityException {
        Set<TrustAnchor> anchors = new HashSet<>();
        for (X509Certificate authority : Pem.certificates(directory.resolve("ca.crt"))) {
            anchors.add(new TrustAnchor(authority, null));
        }
        PKIXParameters parameters = new PKIXParameters(anchors);
        parameters.setRevocationEnabled(false);
        parameters.setDate(VALIDATION_TIME);
        CertPath path =
                CertificateFactory.getInstance("X.509")
                        .generateCertPath(List.of(certificate(directory, name)));
        CertPathValidator.getInstance("PKIX").validate(path, parameters);
    }

    @Test
    void certificatesAreReadAsTheyWereIssued() throws Exception {
        assertEquals(
                Files.readString(storedPath("keys.txt")), CertificateText.of(storedPath("keys")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"old", "r1", "ann"})
    void identityHasNameAndExpiryOfItsCertificate(String name) throws Exception {
        Identity identity = new Identity(storedPath("keys"), name);
        assertEquals(name, identity.name());
        assertEquals(name, Identity.name(certificate(storedPath("keys"), name)));
        assertTrue(
                Files.readString(storedPath("keys.txt"))
                        .contains("to " + identity.expiresMs() + "\n"));
    }

    @Test
    void rolesAreReadFromCertificates() throws Exception {
        assertEquals(Set.of(Role.ROUTER), Identity.roles(certificate(storedPath("keys"), "r1")));
        assertEquals(
                EnumSet.of(Role.OBSERVE, Role.DRAIN, Role.STOP),
                Identity.roles(certificate(storedPath("keys"), "ann")));
    }

    @Test
    void roleNamesAreThoseOfTheEarlierBuild() {
        assertEquals(
                List.of("router", "observe", "drain", "stop"),
                Stream.of(Role.ROUTER, Role.OBSERVE, Role.DRAIN, Role.STOP)
                        .map(Role::word)
                        .toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"ca", "old", "r1", "ann"})
    void privateKeyMatchesItsCertificate(String name) throws Exception {
        byte[] data = "signed".getBytes(StandardCharsets.UTF_8);
        Signature signature = Signature.getInstance("SHA256withECDSA");
        signature.initSign(Pem.key(storedPath("keys").resolve(name + ".key")));
        signature.update(data);
        byte[] signatureBytes = signature.sign();
        signature.initVerify(certificate(storedPath("keys"), name).getPublicKey());
        signature.update(data);
        assertTrue(signature.verify(signatureBytes));
    }

    @ParameterizedTest
    @ValueSource(strings = {"old", "r1", "ann"})
    void certificatesOfBothAuthoritiesAreTrusted(String name) throws Exception {
        validateTrust(storedPath("keys"), name);
    }

    @Test
    void onlyTheNewAuthorityIsTrustedAfterRetirement(@TempDir Path directory) throws Exception {
        new CertificateAuthority(copyKeys(directory)).retire();
        validateTrust(directory, "r1");
        assertThrows(CertPathValidatorException.class, () -> validateTrust(directory, "old"));
    }

    @Test
    void storedAuthorityIssuesFurtherCertificates(@TempDir Path directory) throws Exception {
        new CertificateAuthority(copyKeys(directory))
                .issue("r9", Set.of(Role.ROUTER), Duration.ofDays(1));
        assertEquals("r9", new Identity(directory, "r9").name());
        certificate(directory, "r9").verify(certificate(storedPath("keys"), "ca").getPublicKey());
    }

    @Test
    void certificateOfAnotherNameIsRejected(@TempDir Path directory) throws Exception {
        copyKeys(directory);
        Files.copy(directory.resolve("r1.crt"), directory.resolve("r2.crt"));
        Files.copy(directory.resolve("r1.key"), directory.resolve("r2.key"));
        assertThrows(GeneralSecurityException.class, () -> new Identity(directory, "r2"));
    }
}
