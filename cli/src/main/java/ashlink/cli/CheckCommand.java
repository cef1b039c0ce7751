package ashlink.cli;

import ashlink.config.RouterConfig;
import ashlink.config.RouterConfigReader;
import ashlink.router.classify.UnreachableRules;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Checks settings. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks the settings of a router and tells all that is wrong with them.")
final class CheckCommand implements Callable<Integer> {

    @Parameters(paramLabel = "CONFIG", description = "Settings of the router.")
    private Path file;

    @Override
    public Integer call() throws Exception {
        RouterConfig c = RouterConfigReader.read(file);
        for (String warning : UnreachableRules.of(c)) {
            System.out.println(file + ": warning: " + warning);
        }
        System.out.println(
                file
                        + ": router "
                        + c.name()
                        + ", "
                        + c.engines().size()
                        + " engines, "
                        + c.classes().size()
                        + " classes, "
                        + c.rules().size()
                        + " rules, "
                        + c.users().size()
                        + " users: accepted");
        return 0;
    }
}
