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
 * trusted authority certificates, the newest first, and {@code ca.key} the private key of the newest.
 * During a renewal two authority certificates are trusted.
 */
public final class CertificateAuthority {

    private static final String SIGNATURE = "SHA256withECDSA";
    /** Certificates are valid from this long ago, because clocks may differ. */
    private static final Duration BACKDATED = Duration.ofMinutes(30);

    private static final String CERTIFICATES = "ca.crt";
    private static final String KEY = "ca.key";

    private final Path dir;

    /** Creates an object for the authority in a directory, which need not exist yet. */
    public CertificateAuthority(Path dir) {
        this.dir = dir;
    }

    private static KeyPair pair() throws GeneralSecurityException {
        KeyPairGenerator generator = KeyPairGenerator.getInstance("EC");
        generator.initialize(new ECGenParameterSpec("secp256r1"));
        return generator.generateKeyPair();
    }

    /**
     * Generates a new authority key and certificate. Earlier certificates stay trusted until {@link
     * #retire}.
     */
    public void renew(Duration lasts) throws IOException, GeneralSecurityException {
        Files.createDirectories(dir);
        KeyPair pair = pair();
        X500NameBuilder name =
                new X500NameBuilder(BCStyle.INSTANCE)
                        .addRDN(BCStyle.O, "ashlink fleet")
                        .addRDN(BCStyle.CN, "authority " + Instant.now());
        X509Certificate x509Certificate =
                certificate(name, name, pair, pair.getPrivate(), lasts, true);
        List<X509Certificate> all = new ArrayList<>(List.of(x509Certificate));
        if (Files.exists(dir.resolve(CERTIFICATES))) {
            all.addAll(Pem.certificates(dir.resolve(CERTIFICATES)));
        }
        write(dir.resolve(KEY), true, pair.getPrivate());
        write(dir.resolve(CERTIFICATES), false, all.toArray());
    }

    /** Removes all authority certificates but the newest from the trusted ones. */
    public void retire() throws IOException, GeneralSecurityException {
        write(dir.resolve(CERTIFICATES), false, Pem.certificates(dir.resolve(CERTIFICATES)).get(0));
    }

    /**
     * Issues a key and certificate to a router or an operator, in the files {@code NAME.key} and
     * {@code NAME.crt}.
     */
    public void issue(String name, Set<Role> roles, Duration lasts)
            throws IOException, GeneralSecurityException {
        if (!name.matches("[A-Za-z0-9._-]{1,64}") || name.equals("ca")) {
            throw new IOException(
                    "invalid name "
                            + name
                            + ": expected 1 to 64 letters, digits, dots, underscores or dashes,"
                            + " and not ca, which is reserved");
        }
        X509Certificate issuer = Pem.certificates(dir.resolve(CERTIFICATES)).get(0);
        PrivateKey key = Pem.key(dir.resolve(KEY));
        KeyPair pair = pair();
        X500NameBuilder subject =
                new X500NameBuilder(BCStyle.INSTANCE).addRDN(BCStyle.O, "ashlink fleet");
        roles.forEach(role -> subject.addRDN(BCStyle.OU, role.word()));
        subject.addRDN(BCStyle.CN, name);
        X500NameBuilder by =
                new X500NameBuilder(BCStyle.INSTANCE)
                        .addRDN(BCStyle.O, "ashlink fleet")
                        .addRDN(BCStyle.CN, Identity.name(issuer));
        write(dir.resolve(name + ".key"), true, pair.getPrivate());
        write(
                dir.resolve(name + ".crt"),
                false,
                certificate(by, subject, pair, key, lasts, false),
                issuer);
    }

    private static X509Certificate certificate(
            X500NameBuilder issuer,
            X500NameBuilder subject,
            KeyPair pair,
            PrivateKey signer,
            Duration lasts,
            boolean authority)
            throws IOException, GeneralSecurityException {
        try {
            Instant from = Instant.now().minus(BACKDATED);
            X509v3CertificateBuilder x509v3CertificateBuilder =
                    new JcaX509v3CertificateBuilder(
                            issuer.build(),
                            new BigInteger(128, new SecureRandom()),
                            Date.from(from),
                            Date.from(Instant.now().plus(lasts)),
                            subject.build(),
                            pair.getPublic());
            x509v3CertificateBuilder.addExtension(
                    Extension.basicConstraints, true, new BasicConstraints(authority));
            x509v3CertificateBuilder.addExtension(
                    Extension.keyUsage,
                    true,
                    new KeyUsage(authority ? KeyUsage.keyCertSign : KeyUsage.digitalSignature));
            return new JcaX509CertificateConverter()
                    .getCertificate(
                            x509v3CertificateBuilder.build(
                                    new JcaContentSignerBuilder(SIGNATURE).build(signer)));
        } catch (OperatorCreationException e) {
            throw new GeneralSecurityException(e);
        }
    }

    /**
     * Writes PEM objects to a temporary file and atomically renames it, so that no reader sees a
     * partial file. Only the owner of the file may read it if it is secret.
     */
    private static void write(Path file, boolean secret, Object... things) throws IOException {
        StringWriter text = new StringWriter();
        try (JcaPEMWriter pem = new JcaPEMWriter(text)) {
            for (Object t : things) {
                pem.writeObject(
                        t instanceof PrivateKey privateKey
                                ? new org.bouncycastle.util.io.pem.PemObject(
                                        "PRIVATE KEY", privateKey.getEncoded())
                                : t);
            }
        }
        Path next = file.resolveSibling(file.getFileName() + ".next");
        Files.deleteIfExists(next);
        Files.createFile(
                next,
                PosixFilePermissions.asFileAttribute(
                        PosixFilePermissions.fromString(secret ? "rw-------" : "rw-r--r--")));
        Files.writeString(next, text.toString(), StandardOpenOption.WRITE);
        Files.move(
                next,
                file,
                java.nio.file.StandardCopyOption.ATOMIC_MOVE,
                java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }
}
