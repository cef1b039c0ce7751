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
                "Tells the story of a request in a capture: what was known of each engine, its"
                        + " attempts, its end.")
final class WhyCommand implements Callable<Integer> {

    @Parameters(index = "0", paramLabel = "CAPTURE", description = "Folder of the capture.")
    private Path folder;

    @Parameters(
            index = "1",
            paramLabel = "REQUEST",
            description = "Number of the request, as the log names it.")
    private long request;

    @Override
    public Integer call() throws Exception {
        QueryTimeline story = new QueryTimeline(request);
        new CaptureReader(FolderDisk.reading(folder)).read(story);
        List<String> lines = story.lines();
        lines.forEach(System.out::println);
        if (lines.isEmpty()) {
            System.out.println("request " + request + " is not in this capture");
        }
        return lines.isEmpty() ? 1 : 0;
    }
}
