package ashlink.control.tls;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyFactory;
import java.security.PrivateKey;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.security.spec.PKCS8EncodedKeySpec;
import java.util.Base64;
import java.util.List;

/** Reads private keys and certificates from PEM files. */
public final class Pem {

    private Pem() {}

    /** Reads all certificates in a file. */
    public static List<X509Certificate> certificates(Path file)
            throws IOException, GeneralSecurityException {
        try (InputStream in = Files.newInputStream(file)) {
            return CertificateFactory.getInstance("X.509").generateCertificates(in).stream()
                    .map(certificate -> (X509Certificate) certificate)
                    .toList();
        }
    }

    /** Reads the elliptic-curve private key in a file. */
    public static PrivateKey key(Path file) throws IOException, GeneralSecurityException {
        String base64 =
                Files.readString(file).replaceAll("-----[A-Z ]+-----", "").replaceAll("\\s", "");
        try {
            return KeyFactory.getInstance("EC")
                    .generatePrivate(new PKCS8EncodedKeySpec(Base64.getDecoder().decode(base64)));
        } catch (IllegalArgumentException e) {
            throw new GeneralSecurityException(
                    "invalid private key in " + file + ": expected Base64 in PEM", e);
        }
    }
}
