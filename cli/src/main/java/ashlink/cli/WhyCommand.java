package ashlink.cli;

import ashlink.capture.CaptureReader;
import ashlink.capture.QueryTimeline;
import ashlink.capture.log.FolderDisk;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Prints the history of one request from a capture. */
@Command(
        name = "why",
        mixinStandardHelpOptions = true,
        description =
                "Prints the history of a request in a capture: the known state of each engine, the"
                        + " attempts, and the outcome.")
final class WhyCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "CAPTURE", description = "Capture folder.")
    private Path folder;

    @Parameters(index = "1", paramLabel = "REQUEST", description = "Request number, as in the log.")
    private long request;

    @Override
    public Integer call() throws Exception {
        QueryTimeline timeline = new QueryTimeline(request);
        new CaptureReader(FolderDisk.reading(folder)).read(timeline);
        List<String> lines = timeline.lines();
        lines.forEach(System.out::println);
        if (lines.isEmpty()) {
            System.out.println("request " + request + " not found in capture " + folder);
        }
        return lines.isEmpty() ? 1 : 0;
    }
}
