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

    private static final double NS_PER_SECOND = 1e9;

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
    private static final class ModuleClassLoader extends URLClassLoader {
        ModuleClassLoader(Path jar) throws java.net.MalformedURLException {
            super(new URL[] {jar.toUri().toURL()}, ReplayCommand.class.getClassLoader());
        }

        @Override
        public URL getResource(String name) {
            URL resource = findResource(name);
            return resource != null ? resource : super.getResource(name);
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            boolean shared =
                    !name.startsWith("ashlink.") || name.startsWith("ashlink.decisions.api.");
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = shared ? super.loadClass(name, resolve) : findLoadedClass(name);
                return loaded != null ? loaded : findClass(name);
            }
        }
    }

    private Class<? extends WorkloadManager> moduleType() throws Exception {
        if (jar == null) {
            return baseline == null ? DefaultWorkloadManager.class : Baseline.class;
        }
        return new ModuleClassLoader(jar).loadClass(moduleClass).asSubclass(WorkloadManager.class);
    }

    private Function<Settings, WorkloadManager> moduleFactory(
            Class<? extends WorkloadManager> type) {
        return settings -> {
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
    }

    @Override
    public Integer call() throws Exception {
        boolean identical = true;
        Class<? extends WorkloadManager> type = moduleType();
        Function<Settings, WorkloadManager> moduleFactory = moduleFactory(type);
        String hash = ModuleHash.of(type);
        for (Path folder : folders) {
            Replay replay = new Replay(moduleFactory, hash);
            long startNs = System.nanoTime();
            List<CaptureReader.SegmentSummary> segments =
                    new CaptureReader(FolderDisk.reading(folder)).read(replay);
            double durationS = (System.nanoTime() - startNs) / NS_PER_SECOND;
            System.out.printf(
                    "%s: %d starts, %d steps replayed in %.2f s (%.0f times real time), %d steps"
                            + " after gaps skipped%n",
                    folder,
                    replay.starts(),
                    replay.replayedSteps(),
                    durationS,
                    replay.spanNs() / NS_PER_SECOND / durationS,
                    replay.skippedSteps());
            for (CaptureReader.SegmentSummary segment : segments) {
                if (segment.state() != ashlink.capture.log.Segment.State.WHOLE) {
                    System.out.printf(
                            "  segment %s is %s: %s%n",
                            segment.name(), segment.state(), segment.reason());
                }
            }
            if (replay.hashesDiffer()) {
                System.out.println(
                        "  the code of the module differs from the code at capture time");
            }
            printDivergences(replay);
            identical &= replay.divergentSteps() == 0;
            identical &= replay.replayedSteps() > 0;
        }
        return identical ? 0 : 1;
    }

    private static void printDivergences(Replay replay) {
        if (replay.divergentSteps() == 0) {
            System.out.println("  identical");
            return;
        }
        System.out.printf(
                "  %d steps differ; events are replayed as recorded, so steps after the first"
                        + " difference do not reflect it%n",
                replay.divergentSteps());
        for (Replay.Divergence divergence : replay.divergences()) {
            System.out.printf(
                    "  entry %d at %.3f s: %s%n    recorded %s%n    replayed %s%n",
                    divergence.entry(),
                    divergence.recorded().nowNs() / NS_PER_SECOND,
                    divergence.recorded().event(),
                    divergence.recorded().actions(),
                    divergence.replayed());
        }
    }
}
