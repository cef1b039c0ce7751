package ashlink.cli;

import ashlink.capture.CaptureReader;
import ashlink.capture.CaptureSlice;
import ashlink.capture.CaptureSummary;
import ashlink.capture.JsonExport;
import ashlink.capture.events.Entry;
import ashlink.capture.log.FolderDisk;
import ashlink.capture.log.Segment;
import ashlink.report.CaptureReport;
import java.io.BufferedOutputStream;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Reads captures: parent of the capture subcommands. */
@Command(
        name = "capture",
        mixinStandardHelpOptions = true,
        description = "Lists, shows, verifies, cuts, exports and reports on captures.",
        subcommands = {
            CaptureCommand.ListSegments.class,
            CaptureCommand.Verify.class,
            CaptureCommand.Export.class,
            CaptureCommand.Report.class,
            CaptureCommand.Cut.class,
            CaptureCommand.Show.class
        })
final class CaptureCommand implements Callable<Integer> {

    @picocli.CommandLine.Spec private picocli.CommandLine.Model.CommandSpec spec;

    @Override
    public Integer call() {
        throw new picocli.CommandLine.ParameterException(
                spec.commandLine(),
                "missing subcommand: expected ls, show, verify, cut, export or report");
    }

    private static List<CaptureReader.SegmentSummary> readSegments(Path folder) throws Exception {
        return new CaptureReader(FolderDisk.reading(folder)).read(entry -> {});
    }

    /** Options that select a range of entries of a capture. */
    static final class EntryRange {
        @picocli.CommandLine.Option(
                names = "--from",
                description = "Number of the first entry, counted from 0.")
        private long first;

        @picocli.CommandLine.Option(
                names = "--count",
                description = "Maximum number of entries; all if not given.")
        private long count = Long.MAX_VALUE;
    }

    /** Lists the segments of a capture. */
    @Command(
            name = "ls",
            mixinStandardHelpOptions = true,
            description = "Lists the segments of a capture.")
    static final class ListSegments implements Callable<Integer> {
        @Parameters(paramLabel = "CAPTURE")
        private Path folder;

        @Override
        public Integer call() throws Exception {
            for (CaptureReader.SegmentSummary segment : readSegments(folder)) {
                System.out.printf(
                        "%s  router started %tFT%<tT  first entry %d, %d entries, %d bytes, %.1f"
                                + " bytes per entry, %s %s%n",
                        segment.name(),
                        segment.boot(),
                        segment.firstEntry(),
                        segment.entries(),
                        segment.bytes(),
                        segment.bytes() / (double) Math.max(1, segment.entries()),
                        segment.state(),
                        segment.reason());
            }
            return 0;
        }
    }

    /** Verifies the segments of a capture. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description =
                    "Verifies all bytes of a capture. Exit status: 0 intact, 1 a segment is"
                            + " incomplete or corrupt.")
    static final class Verify implements Callable<Integer> {
        @Parameters(paramLabel = "CAPTURE")
        private Path folder;

        @Override
        public Integer call() throws Exception {
            boolean intact = true;
            for (CaptureReader.SegmentSummary segment : readSegments(folder)) {
                intact &= segment.state() == Segment.State.WHOLE;
                System.out.println(segment.name() + " " + segment.state() + " " + segment.reason());
            }
            return intact ? 0 : 1;
        }
    }

    /** Exports entries as JSON. */
    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Writes a capture to standard output as JSON, one entry per line.")
    static final class Export implements Callable<Integer> {
        @Parameters(paramLabel = "CAPTURE")
        private Path folder;

        @picocli.CommandLine.Mixin private EntryRange range;

        @Override
        public Integer call() throws Exception {
            try (JsonExport out = new JsonExport(new BufferedOutputStream(System.out))) {
                long[] nextNumber = new long[1];
                new CaptureReader(FolderDisk.reading(folder))
                        .read(
                                entry -> {
                                    long number = nextNumber[0]++;
                                    if (number >= range.first
                                            && number - range.first < range.count) {
                                        out.accept(entry);
                                    }
                                });
            }
            return 0;
        }
    }

    /** Writes a range of entries as a separate capture. */
    @Command(
            name = "cut",
            mixinStandardHelpOptions = true,
            description =
                    "Writes a range of entries as a separate capture. "
                            + "It can be replayed if it begins with a start of the router.")
    static final class Cut implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CAPTURE")
        private Path folder;

        @Parameters(
                index = "1",
                paramLabel = "FOLDER",
                description = "Target folder, which must not contain a capture.")
        private Path target;

        @picocli.CommandLine.Mixin private EntryRange range;

        @Override
        public Integer call() throws Exception {
            List<CaptureReader.SegmentSummary> segments = readSegments(folder);
            long bootTime = segments.isEmpty() ? 0 : segments.get(0).boot();
            long written;
            Files.createDirectories(target);
            try (FolderDisk disk = FolderDisk.writing(target);
                    CaptureSlice slice =
                            new CaptureSlice(disk, bootTime, range.first, range.count)) {
                new CaptureReader(FolderDisk.reading(folder)).read(slice);
                written = slice.written();
            }
            System.out.println(written + " entries written to " + target);
            return written > 0 ? 0 : 1;
        }
    }

    /** Prints entries in readable form. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints entries with number, time, event and actions.")
    static final class Show implements Callable<Integer> {
        @Parameters(paramLabel = "CAPTURE")
        private Path folder;

        @picocli.CommandLine.Option(
                names = "--from",
                description = "Number of the first entry, counted from 0.")
        private long first;

        @picocli.CommandLine.Option(
                names = "--count",
                description = "Maximum number of entries; ${DEFAULT-VALUE} if not given.")
        private long count = 100;

        @Override
        public Integer call() throws Exception {
            long[] nextNumber = new long[1];
            new CaptureReader(FolderDisk.reading(folder))
                    .read(
                            entry -> {
                                long number = nextNumber[0]++;
                                if (number < first || number - first >= count) {
                                    return;
                                }
                                if (entry instanceof Entry.Step step) {
                                    System.out.printf(
                                            "%8d %14.3f ms  %s%n",
                                            number, step.nowNs() / 1e6, step.event());
                                    step.actions()
                                            .forEach(
                                                    action ->
                                                            System.out.println(
                                                                    " ".repeat(28)
                                                                            + "-> "
                                                                            + action));
                                } else {
                                    System.out.printf("%8d %s%n", number, entry);
                                }
                            });
            return 0;
        }
    }

    /** Writes an HTML report of a capture. */
    @Command(
            name = "report",
            mixinStandardHelpOptions = true,
            description = "Writes an HTML report of a capture, with counts and charts.")
    static final class Report implements Callable<Integer> {
        @Parameters(index = "0", paramLabel = "CAPTURE")
        private Path folder;

        @Parameters(index = "1", paramLabel = "FILE", description = "HTML file to write.")
        private Path reportFile;

        @Override
        public Integer call() throws Exception {
            System.setProperty("java.awt.headless", "true");
            CaptureSummary summary = new CaptureSummary();
            new CaptureReader(FolderDisk.reading(folder)).read(summary);
            try (Writer out = Files.newBufferedWriter(reportFile)) {
                CaptureReport.write(summary, "Capture " + folder.getFileName(), out);
            }
            return 0;
        }
    }
}
