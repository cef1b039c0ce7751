package ashlink.cli;

import ashlink.control.tls.CertificateAuthority;
import ashlink.control.tls.Identity;
import ashlink.control.tls.Pem;
import ashlink.control.tls.Role;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.time.Instant;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Manages the keys and certificates of a fleet: parent of the key subcommands. */
@Command(
        name = "keys",
        mixinStandardHelpOptions = true,
        description = "Creates and shows the keys and certificates of a fleet's control channel.",
        subcommands = {
            KeysCommand.Authority.class,
            KeysCommand.Retire.class,
            KeysCommand.Issue.class,
            KeysCommand.Show.class
        })
final class KeysCommand implements Callable<Integer> {

    private static final int RENEWAL_DAYS = 30;

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new CommandLine.ParameterException(
                spec.commandLine(),
                "missing subcommand: expected authority, retire, issue or show");
    }

    /** Creates a certificate authority. */
    @Command(
            name = "authority",
            mixinStandardHelpOptions = true,
            description =
                    "Creates a certificate authority. Earlier authorities stay trusted until 'keys"
                            + " retire', so that certificates can be replaced in the meantime.")
    static final class Authority implements Callable<Integer> {
        @Parameters(paramLabel = "DIR")
        private Path directory;

        @Option(names = "--days", description = "Validity in days; ${DEFAULT-VALUE} if not given.")
        private int days = 3650;

        @Override
        public Integer call() throws Exception {
            new CertificateAuthority(directory).renew(Duration.ofDays(days));
            return 0;
        }
    }

    /** Removes trust in all authorities but the newest, at the end of a rotation. */
    @Command(
            name = "retire",
            mixinStandardHelpOptions = true,
            description = "Removes trust in all certificate authorities except the newest.")
    static final class Retire implements Callable<Integer> {
        @Parameters(paramLabel = "DIR")
        private Path directory;

        @Override
        public Integer call() throws Exception {
            new CertificateAuthority(directory).retire();
            return 0;
        }
    }

    /** Issues certificates for routers and operators. */
    @Command(
            name = "issue",
            mixinStandardHelpOptions = true,
            description = "Creates a key and a certificate for each name.")
    static final class Issue implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "DIR")
        private Path directory;

        @Parameters(index = "1..*", arity = "1..*", paramLabel = "NAME")
        private List<String> names;

        @Option(
                names = "--role",
                required = true,
                description =
                        "Role: router; or for operators observe, drain or stop. May be repeated.")
        private List<Role> roles;

        @Option(names = "--days", description = "Validity in days; ${DEFAULT-VALUE} if not given.")
        private int days = 365;

        @Override
        public Integer call() throws Exception {
            Set<Role> grantedRoles = EnumSet.copyOf(roles);
            if (grantedRoles.contains(Role.DRAIN) || grantedRoles.contains(Role.STOP)) {
                grantedRoles.add(Role.OBSERVE);
            }
            for (String name : names) {
                new CertificateAuthority(directory)
                        .issue(name, grantedRoles, Duration.ofDays(days));
            }
            return 0;
        }
    }

    /** Shows the certificates of a directory. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description =
                    "Shows the names, roles and expiry dates of all certificates. Exit status: 1 if"
                            + " a certificate expires within "
                            + RENEWAL_DAYS
                            + " days, otherwise 0.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "DIR")
        private Path directory;

        @Override
        public Integer call() throws Exception {
            boolean renewalDue = false;
            List<Path> files;
            try (Stream<Path> entries = Files.list(directory)) {
                files = entries.filter(path -> path.toString().endsWith(".crt")).sorted().toList();
            }
            for (Path file : files) {
                for (X509Certificate certificate :
                        file.endsWith("ca.crt")
                                ? Pem.certificates(file)
                                : Pem.certificates(file).subList(0, 1)) {
                    long days =
                            Duration.between(Instant.now(), certificate.getNotAfter().toInstant())
                                    .toDays();
                    renewalDue |= days < RENEWAL_DAYS;
                    System.out.printf(
                            "%-24s %-28s expires %tF, in %d days%s%n",
                            Identity.name(certificate),
                            Identity.roles(certificate).stream().map(Role::word).toList(),
                            certificate.getNotAfter(),
                            days,
                            days < RENEWAL_DAYS ? "  RENEW" : "");
                }
            }
            return renewalDue ? 1 : 0;
        }
    }
}
