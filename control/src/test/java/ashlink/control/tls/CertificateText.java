package ashlink.control.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.cert.X509Certificate;
import java.util.HexFormat;
import java.util.List;

/**
 * Formats the certificates in a directory as plain text whose format does not depend on the tested
 * code.
 */
final class CertificateText {

    private static final List<String> FILES = List.of("ca.crt", "old.crt", "r1.crt", "ann.crt");

    private CertificateText() {}

    /** Returns a text with the fields of all certificates in a directory. */
    static String of(Path directory) throws IOException, GeneralSecurityException {
        StringBuilder text = new StringBuilder();
        for (String file : FILES) {
            text.append(file).append('\n');
            for (X509Certificate certificate : Pem.certificates(directory.resolve(file))) {
                append(text, certificate);
            }
        }
        return text.toString();
    }

    private static void append(StringBuilder text, X509Certificate certificate)
            throws GeneralSecurityException {
        byte[] keyHash =
                MessageDigest.getInstance("SHA-256")
                        .digest(certificate.getPublicKey().getEncoded());
        appendLine(text, "subject", certificate.getSubjectX500Principal().getName());
        appendLine(text, "issuer", certificate.getIssuerX500Principal().getName());
        appendLine(text, "serial", certificate.getSerialNumber().toString(16));
        appendLine(text, "from", certificate.getNotBefore().getTime());
        appendLine(text, "to", certificate.getNotAfter().getTime());
        appendLine(text, "authority", certificate.getBasicConstraints());
        appendLine(text, "key", HexFormat.of().formatHex(keyHash));
    }

    private static void appendLine(StringBuilder text, String name, Object value) {
        text.append("  ").append(name).append(' ').append(value).append('\n');
    }
}
