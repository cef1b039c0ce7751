package ashlink.cli;

import ashlink.config.EngineConfig;
import ashlink.config.EngineConfigReader;
import ashlink.emulator.EmulatedEngine;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Runs emulated engines until the process is terminated. */
@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description =
                "Runs the emulated engines of a settings file, for trials and tests. They store no"
                        + " data.")
final class EngineCommand implements Callable<Integer> {

    @Parameters(paramLabel = "CONFIG", description = "Settings file of the engines.")
    private Path file;

    @Override
    public Integer call() throws Exception {
        for (EngineConfig config : EngineConfigReader.read(file)) {
            EmulatedEngine engine = new EmulatedEngine(config);
            engine.start();
            System.out.println(config.name() + " listening on " + engine.address());
        }
        new CountDownLatch(1).await();
        return 0;
    }
}
