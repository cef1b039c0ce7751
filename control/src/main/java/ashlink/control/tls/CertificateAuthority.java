package ashlink.control.tls;

import java.io.IOException;
import java.io.StringWriter;
import java.math.BigInteger;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.GeneralSecurityException;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.PrivateKey;
import java.security.SecureRandom;
import java.security.cert.X509Certificate;
import java.security.spec.ECGenParameterSpec;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.Set;
import org.bouncycastle.asn1.x500.X500NameBuilder;
import org.bouncycastle.asn1.x500.style.BCStyle;
import org.bouncycastle.asn1.x509.BasicConstraints;
import org.bouncycastle.asn1.x509.Extension;
import org.bouncycastle.asn1.x509.KeyUsage;
import org.bouncycastle.cert.X509v3CertificateBuilder;
import org.bouncycastle.cert.jcajce.JcaX509CertificateConverter;
import org.bouncycastle.cert.jcajce.JcaX509v3CertificateBuilder;
import org.bouncycastle.openssl.jcajce.JcaPEMWriter;
import org.bouncycastle.operator.OperatorCreationException;
import org.bouncycastle.operator.jcajce.JcaContentSignerBuilder;

/**
 * The private certificate authority of a fleet, stored in a directory: {@code ca.crt} contains the
 * trusted authority certificates, the newest first, and {@code ca.key} the private key of the
 * newest. During a renewal two authority certificates are trusted.
 */
public final class CertificateAuthority {

    private static final String SIGNATURE_ALGORITHM = "SHA256withECDSA";

    /** Certificates are valid from this long ago, because clocks may differ. */
    private static final Duration CLOCK_SKEW_ALLOWANCE = Duration.ofMinutes(30);

    private static final String CERTIFICATES_FILE = "ca.crt";
    private static final String KEY_FILE = "ca.key";

    private final Path dir;

    /** Creates an object for the authority in a directory, which need not exist yet. */
    public CertificateAuthority(Path dir) {
        this.dir = dir;
    }

    private static KeyPair generateKeyPair() throws GeneralSecurityException {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    /**
     * Generates a new authority key and certificate. Earlier certificates stay trusted until {@link
     * #retire}.
     */
    public void renew(Duration validity) throws IOException, GeneralSecurityException {
        Files.createDirectories(dir);
        KeyPair pair = generateKeyPair();
        X500NameBuilder name =
                new X500NameBuilder(BCStyle.INSTANCE)
                        .addRDN(BCStyle.O, "ashlink fleet")
                        .addRDN(BCStyle.CN, "authority " + Instant.now());
        X509Certificate newest = certificate(name, name, pair, pair.getPrivate(), validity, true);
        List<X509Certificate> trusted = new ArrayList<>(List.of(newest));
        if (Files.exists(dir.resolve(CERTIFICATES_FILE))) {
            trusted.addAll(Pem.certificates(dir.resolve(CERTIFICATES_FILE)));
        }
        write(dir.resolve(KEY_FILE), true, pair.getPrivate());
        write(dir.resolve(CERTIFICATES_FILE), false, trusted.toArray());
    }

    /** Removes all authority certificates but the newest from the trusted ones. */
    public void retire() throws IOException, GeneralSecurityException {
        write(
                dir.resolve(CERTIFICATES_FILE),
                false,
                Pem.certificates(dir.resolve(CERTIFICATES_FILE)).get(0));
    }

    /**
     * Issues a key and certificate to a router or an operator, in the files {@code NAME.key} and
     * {@code NAME.crt}.
     */
    public void issue(String name, Set<Role> roles, Duration validity)
            throws IOException, GeneralSecurityException {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || name.equals("ca")) {
            throw new IOException(
                    "invalid name "
                            + name
                            + ": expected 1 to 64 letters, digits, dots, underscores or dashes,"
                            + " and not ca, which is reserved");
        }
        X509Certificate issuer = Pem.certificates(dir.resolve(CERTIFICATES_FILE)).get(0);
        PrivateKey key = Pem.key(dir.resolve(KEY_FILE));
        KeyPair pair = generateKeyPair();
        X500NameBuilder subject =
                new X500NameBuilder(BCStyle.INSTANCE).addRDN(BCStyle.O, "ashlink fleet");
        roles.forEach(role -> subject.addRDN(BCStyle.OU, role.word()));
        subject.addRDN(BCStyle.CN, name);
        X500NameBuilder issuerName =
                new X500NameBuilder(BCStyle.INSTANCE)
                        .addRDN(BCStyle.O, "ashlink fleet")
                        .addRDN(BCStyle.CN, Identity.name(issuer));
        write(dir.resolve(name + ".key"), true, pair.getPrivate());
        write(
                dir.resolve(name + ".crt"),
                false,
                certificate(issuerName, subject, pair, key, validity, false),
                issuer);
    }

    private static X509Certificate certificate(
            X500NameBuilder issuer,
            X500NameBuilder subject,
            KeyPair pair,
            PrivateKey signer,
            Duration validity,
            boolean isAuthority)
            throws IOException, GeneralSecurityException {
        try {
            Instant validFrom = Instant.now().minus(CLOCK_SKEW_ALLOWANCE);
            X509v3CertificateBuilder builder =
                    new JcaX509v3CertificateBuilder(
                            issuer.build(),
                            new BigInteger(128, new SecureRandom()),
                            Date.from(validFrom),
                            Date.from(Instant.now().plus(validity)),
                            subject.build(),
                            pair.getPublic());
            builder.addExtension(
                    Extension.basicConstraints, true, new BasicConstraints(isAuthority));
            builder.addExtension(
                    Extension.keyUsage,
                    true,
                    new KeyUsage(isAuthority ? KeyUsage.keyCertSign : KeyUsage.digitalSignature));
            return new JcaX509CertificateConverter()
                    .getCertificate(
                            builder.build(
                                    new JcaContentSignerBuilder(SIGNATURE_ALGORITHM)
                                            .build(signer)));
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }

    /**
     * Writes PEM objects to a temporary file and atomically renames it, so that no reader sees a
     * partial file. Only the owner of the file may read it if {@code ownerOnly} is set.
     */
    private static void write(Path file, boolean ownerOnly, Object... pemObjects)
            throws IOException {
        StringWriter text = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(text)) {
            for (Object pemObject : pemObjects) {
                pem.writeObject(
                        pemObject instanceof PrivateKey privateKey
                                ? new org.bouncycastle.util.io.pem.PemObject(
                                        "PRIVATE KEY", privateKey.getEncoded())
                                : pemObject);
            }
        }
        Path temporaryFile = file.resolveSibling(file.getFileName() + ".next");
        Files.deleteIfExists(temporaryFile);
        Files.createFile(
                temporaryFile,
                PosixFilePermissions.asFileAttribute(
                        PosixFilePermissions.fromString(ownerOnly ? "rw-------" : "rw-r--r--")));
        Files.writeString(temporaryFile, text.toString(), StandardOpenOption.WRITE);
        Files.move(
                temporaryFile,
                file,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
}
