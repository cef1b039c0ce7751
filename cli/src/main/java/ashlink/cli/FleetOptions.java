package ashlink.cli;

import ashlink.config.FleetConfig;
import ashlink.config.FleetConfig.Member;
import ashlink.control.tls.Identity;
import ashlink.control.tool.FleetClient;
import ashlink.control.tool.FleetClient.Result;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import picocli.CommandLine.Option;

/** Options that all subcommands have. */
final class FleetOptions {
    @Option(
            names = "--inventory",
            description = "File that lists the routers; ${DEFAULT-VALUE} if not given.")
    private Path inventory = Path.of("fleet.sexp");

    @Option(names = "--router", description = "Select this router; may be repeated.")
    private List<String> routerNames = List.of();

    @Option(
            names = "--at-once",
            description =
                    "Maximum number of parallel requests to routers; ${DEFAULT-VALUE} if not"
                            + " given.")
    private int maxParallel = 32;

    @Option(
            names = "--timeout",
            description =
                    "Response timeout for each router, in seconds; ${DEFAULT-VALUE} if not"
                            + " given.")
    private double timeoutSeconds = 2;

    @Option(names = "--json", description = "Print JSON instead of a table.")
    private boolean json;

    @Option(names = "--dry-run", description = "Print the actions without performing them.")
    boolean dryRun;

    private FleetConfig fleet;

    FleetConfig fleet() throws Exception {
        if (fleet == null) {
            fleet = FleetConfig.read(inventory);
            for (String name : routerNames) {
                if (!fleet.routers().containsKey(name)) {
                    throw new IOException(
                            "unknown router "
                                    + name
                                    + " in "
                                    + inventory
                                    + ": expected one of "
                                    + fleet.routers().keySet());
                }
            }
        }
        return fleet;
    }

    List<Member> routers() throws Exception {
        return fleet().routers().values().stream()
                .filter(member -> routerNames.isEmpty() || routerNames.contains(member.name()))
                .toList();
    }

    FleetClient connect(List<Member> members) throws Exception {
        Map<String, InetSocketAddress> addresses = new LinkedHashMap<>();
        members.forEach(member -> addresses.put(member.name(), member.control()));
        return new FleetClient(
                new Identity(fleet().keys(), fleet().operator()),
                addresses,
                maxParallel,
                (int) (timeoutSeconds * 1e3));
    }

    /** Prints the results; see {@link FleetRows#print}. */
    int printResults(
            Map<String, Result> results, Predicate<Result> isGood, FleetRows.RowWriter rowWriter)
            throws Exception {
        return FleetRows.print(fleet(), json, results, isGood, rowWriter);
    }
}
