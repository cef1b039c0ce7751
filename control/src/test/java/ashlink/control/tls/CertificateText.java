package ashlink.control.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.cert.X509Certificate;
import java.util.HexFormat;
import java.util.List;

/** Certificates of a folder as plain text, in words of this class's own. */
final class CertificateText {

    private static final List<String> FILES = List.of("ca.crt", "old.crt", "r1.crt", "ann.crt");

    private CertificateText() {}

    /** The text of all certificates in the files of a folder. */
    static String of(Path folder) throws IOException, GeneralSecurityException {
        StringBuilder text = new StringBuilder();
        for (String file : FILES) {
            text.append(file).append('\n');
            for (X509Certificate certificate : Pem.certificates(folder.resolve(file))) {
                append(text, certificate);
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, X509Certificate x509Certificate)
            throws GeneralSecurityException {
        byte[] key =
                MessageDigest.getInstance("SHA-256")
                        .digest(x509Certificate.getPublicKey().getEncoded());
        line(text, "subject", x509Certificate.getSubjectX500Principal().getName());
        line(text, "issuer", x509Certificate.getIssuerX500Principal().getName());
        line(text, "serial", x509Certificate.getSerialNumber().toString(16));
        line(text, "from", x509Certificate.getNotBefore().getTime());
        line(text, "to", x509Certificate.getNotAfter().getTime());
        line(text, "authority", x509Certificate.getBasicConstraints());
        line(text, "key", HexFormat.of().formatHex(key));
    }

    private static void line(StringBuilder text, String name, Object value) {
        text.append("  ").append(name).append(' ').append(value).append('\n');
    }
}
