package ashlink.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** Runs the adapter to the simulator's protocol on standard input and output. */
@Command(
        name = "simulate",
        aliases = "drill",
        mixinStandardHelpOptions = true,
        description = "Serves the simulator's protocol on standard input and output.")
final class SimulatorCommand implements Callable<Integer> {

    @Override
    public Integer call() throws Exception {
        ashlink.simulator.Main.main(new String[] {"simulate"});
        return 0;
    }
}
