package ashlink.cli;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfigReader;
import ashlink.router.classify.UnreachableRules;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks the settings of a router. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the settings of a router and reports all problems.")
final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the router.")
    private Path file;

    @Override
    public Integer call() throws Exception {
        RouterConfig config = RouterConfigReader.read(file);
        for (String warning : UnreachableRules.of(config)) {
            System.out.println(file + ": warning: " + warning);
        }
        System.out.println(
                file
                        + ": router "
                        + config.name()
                        + ", "
                        + config.engines().size()
                        + " engines, "
                        + config.queryClasses().size()
                        + " classes, "
                        + config.rules().size()
                        + " rules, "
                        + config.users().size()
                        + " users: accepted");
        return 0;
    }
}
