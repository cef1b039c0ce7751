package ashlink.control.tls;

import java.io.IOException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;

/**
 * The TLS identity of a router or operator: its private key ({@code NAME.key}), its certificate
 * ({@code NAME.crt}) and the authorities that it trusts ({@code ca.crt}).
 */
public final class Identity {

    private final String name;
    private final X509Certificate certificate;
    private final SSLContext context;

    /**
     * Reads the identity of a name from the files in a directory.
     *
     * @throws IOException if a file cannot be read
     * @throws GeneralSecurityException if a file is invalid or the certificate has another name
     */
    public Identity(Path dir, String name) throws IOException, GeneralSecurityException {
        this.name = name;
        List<X509Certificate> chain = Pem.certificates(dir.resolve(name + ".crt"));
        List<X509Certificate> trusted = Pem.certificates(dir.resolve("ca.crt"));
        certificate = chain.get(0);
        if (!name(certificate).equals(name)) {
            throw new GeneralSecurityException(
                    "unexpected certificate name "
                            + name(certificate)
                            + " in "
                            + dir.resolve(name + ".crt")
                            + ": expected "
                            + name);
        }
        KeyStore ownKeys = KeyStore.getInstance("PKCS12");
        ownKeys.load(null, null);
        ownKeys.setKeyEntry(
                name,
                Pem.key(dir.resolve(name + ".key")),
                new char[0],
                chain.toArray(new X509Certificate[0]));
        KeyManagerFactory keyManagers =
                KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
        keyManagers.init(ownKeys, new char[0]);
        KeyStore authorities = KeyStore.getInstance("PKCS12");
        authorities.load(null, null);
        for (int i = 0; i < trusted.size(); i++) {
            authorities.setCertificateEntry("ca" + i, trusted.get(i));
        }
        TrustManagerFactory trustManagers =
                TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
        trustManagers.init(authorities);
        context = SSLContext.getInstance("TLSv1.3");
        context.init(keyManagers.getKeyManagers(), trustManagers.getTrustManagers(), null);
    }

    /** Returns the name in the certificate. */
    public String name() {
        return name;
    }

    /**
     * Returns a TLS context that presents this identity and trusts the authorities of the fleet.
     */
    public SSLContext context() {
        return context;
    }

    /** Returns the expiry time of the certificate, in milliseconds since 1970. */
    public long expiresMs() {
        return certificate.getNotAfter().getTime();
    }

    /** Returns the name in a certificate; empty if there is none. */
    public static String name(X509Certificate certificate) {
        return subjectAttributes(certificate, "CN").stream().findFirst().orElse("");
    }

    /** Returns the roles in a certificate; unknown role names are ignored. */
    public static Set<Role> roles(X509Certificate certificate) {
        Set<Role> roles = EnumSet.noneOf(Role.class);
        for (String roleName : subjectAttributes(certificate, "OU")) {
            for (Role role : Role.values()) {
                if (role.word().equals(roleName)) {
                    roles.add(role);
                }
            }
        }
        return roles;
    }

    private static List<String> subjectAttributes(X509Certificate certificate, String type) {
        try {
            return new LdapName(certificate.getSubjectX500Principal().getName())
                    .getRdns().stream()
                            .filter(rdn -> rdn.getType().equalsIgnoreCase(type))
                            .map(Rdn::getValue)
                            .map(String::valueOf)
                            .toList();
        } catch (InvalidNameException e) {
            return List.of();
        }
    }
}
