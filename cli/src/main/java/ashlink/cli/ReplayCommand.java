package ashlink.cli;

import ashlink.capture.CaptureReader;
import ashlink.capture.ModuleHash;
import ashlink.capture.Replay;
import ashlink.capture.log.FolderDisk;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
import ashlink.loadtest.baseline.Baseline;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.Function;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Replays captures through a decision module and compares the decisions. */
@Command(
        name = "replay",
        mixinStandardHelpOptions = true,
        description =
                "Replays captures through a new decision module and reports whether the decisions"
                        + " are identical.")
final class ReplayCommand implements Callable<Integer> {

    private static final double S = 1e9;

    @Parameters(paramLabel = "CAPTURE", arity = "1..*", description = "Capture folders.")
    private List<Path> folders;

    @Option(
            names = "--baseline",
            description = "Use a baseline policy instead: ${COMPLETION-CANDIDATES}.")
    private Baseline.Policy baseline;

    @Option(names = "--with", description = "Use the module of another build, from this jar.")
    private Path jar;

    @Option(
            names = "--module",
            defaultValue = "ashlink.decisions.DefaultWorkloadManager",
            description =
                    "Class name of the module in the jar; its constructor takes Settings."
                            + " ${DEFAULT-VALUE} if not given.")
    private String moduleClass;

    /**
     * Loads the decision module of another build. The decision API and all classes outside this
     * project come from this build; all other classes come from the jar.
     */
    private static final class OtherBuild extends URLClassLoader {
        OtherBuild(Path jar) throws java.net.MalformedURLException {
            super(new URL[] {jar.toUri().toURL()}, ReplayCommand.class.getClassLoader());
        }

        @Override
        public URL getResource(String name) {
            URL own = findResource(name);
            return own != null ? own : super.getResource(name);
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            boolean shared =
                    !name.startsWith("ashlink.") || name.startsWith("ashlink.decisions.api.");
            synchronized (getClassLoadingLock(name)) {
                Class<?> c = shared ? super.loadClass(name, resolve) : findLoadedClass(name);
                return c != null ? c : findClass(name);
            }
        }
    }

    private Class<? extends WorkloadManager> module() throws Exception {
        if (jar == null) {
            return baseline == null ? DefaultWorkloadManager.class : Baseline.class;
        }
        return new OtherBuild(jar).loadClass(moduleClass).asSubclass(WorkloadManager.class);
    }

    @Override
    public Integer call() throws Exception {
        boolean same = true;
        Class<? extends WorkloadManager> type = module();
        Function<Settings, WorkloadManager> module =
                settings -> {
                    try {
                        return baseline != null && jar == null
                                ? new Baseline(baseline, settings)
                                : type.getConstructor(Settings.class).newInstance(settings);
                    } catch (ReflectiveOperationException e) {
                        throw new IllegalStateException(
                                "class "
                                        + type.getName()
                                        + " has no usable constructor with a Settings parameter",
                                e);
                    }
                };
        String hash = ModuleHash.of(type);
        for (Path folder : folders) {
            Replay replay = new Replay(module, hash);
            long from = System.nanoTime();
            List<CaptureReader.SegmentSummary> found =
                    new CaptureReader(FolderDisk.reading(folder)).read(replay);
            double took = (System.nanoTime() - from) / S;
            System.out.printf(
                    "%s: %d starts, %d steps replayed in %.2f s (%.0f times real time), %d steps"
                            + " after gaps skipped%n",
                    folder,
                    replay.starts(),
                    replay.replayedSteps(),
                    took,
                    replay.spanNs() / S / took,
                    replay.skippedSteps());
            for (CaptureReader.SegmentSummary f : found) {
                if (f.state() != ashlink.capture.log.Segment.State.WHOLE) {
                    System.out.printf("  segment %s is %s: %s%n", f.name(), f.state(), f.reason());
                }
            }
            if (replay.hashesDiffer()) {
                System.out.println(
                        "  the code of the module differs from the code at capture time");
            }
            if (replay.divergentSteps() == 0) {
                System.out.println("  identical");
            } else {
                System.out.printf(
                        "  %d steps differ; events are replayed as recorded, so steps after the"
                                + " first difference do not reflect it%n",
                        replay.divergentSteps());
                for (Replay.Divergence divergence : replay.divergences()) {
                    System.out.printf(
                            "  entry %d at %.3f s: %s%n    recorded %s%n    replayed %s%n",
                            divergence.entry(),
                            divergence.recorded().nowNs() / S,
                            divergence.recorded().event(),
                            divergence.recorded().actions(),
                            divergence.replayed());
                }
                same = false;
            }
            same &= replay.replayedSteps() > 0;
        }
        return same ? 0 : 1;
    }
}
