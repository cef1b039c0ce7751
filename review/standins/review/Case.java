package review;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/**
 * Runs one case: main ROOT FOLDER. Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. Stops by
 * itself after 110 s.
 */
abstract class Case {

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Path root;
    Path temporary;
    Record record;

    /** Plays the case. Returns whether the rule was broken. */
    abstract boolean play() throws Exception;

    static void run(Case played, String[] args) {
        int status = 2;
        try {
            played.root = Path.of(args[0]).toAbsolutePath();
            played.record = new Record(Path.of(args[1]).resolve("record.txt"));
            played.temporary = Files.createTempDirectory("review");
            played.record.say("disruption: " + (played.trouble ? "on" : "off"));
            Runtime.getRuntime().addShutdownHook(new Thread(played::cleanUp));
            Thread watchdog = Daemons.thread(() -> {
                Daemons.pause(110_000);
                played.record.say("not over after 110 s");
                played.cleanUp();
                Runtime.getRuntime().halt(2);
            });
            watchdog.start();
            status = played.play() ? 1 : 0;
            played.record.say(status == 1 ? "BROKEN" : "HELD");
        } catch (Throwable e) {
            e.printStackTrace();
            if (played.record != null) {
                played.record.log("could not run: " + e);
            }
        }
        played.cleanUp();
        Runtime.getRuntime().halt(status);
    }

    private volatile RouterProcess router;

    RouterProcess register(RouterProcess started) {
        router = started;
        return started;
    }

    private synchronized void cleanUp() {
        try {
            if (router != null) {
                router.close();
                if (record != null && System.getenv("KEEP_LOG") != null) {
                    System.out.println(router.log());
                }
            }
            if (temporary != null) {
                try (Stream<Path> files = Files.walk(temporary)) {
                    files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
                }
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    /** The settings of almtal-zaehler, as in the first message of the simulator's page. */
    static final String SETTINGS =
            """
            {"balancers":3,"position":0,"zone":"halle-1","failure-domains":["halle-1","halle-2","halle-3"],
            "host-types":["typ-a","typ-b"],"discovery":"push","family":"queries","weights":"nominal",
            "ceilings":{"attempts-cap":4,"cancel":false,"connect-timeout-ns":250000000,"idle-close-ns":15000000000,
              "max-retry-after-ns":500000000,"max-streams":32,"may-probe":true,"open-cap":20000,"peers":false,
              "retry-after":true,"second-copies":false},
            "classes":[
              {"name":"abfrage","effect":"idempotent","gain":1.0,"promise-ns":500000000,"aim-stretch":1.5,
               "deadline-ns":2500000000,"late-share":0.1,"group":"all","memory-span-ns":5000000000,"stream":false},
              {"name":"bericht","effect":"idempotent","gain":12.0,"promise-ns":1500000000,"aim-stretch":2.5,
               "deadline-ns":20000000000,"late-share":0.4,"group":"all","memory-span-ns":5000000000,"stream":false,
               "host-types-allowed":["typ-a"]},
              {"name":"ladung","effect":"at_most_once","gain":10.0,"promise-ns":3000000000,"aim-stretch":3.0,
               "deadline-ns":25000000000,"late-share":0.5,"group":"all","memory-span-ns":5000000000,"stream":false,
               "one-at-a-time":true}],
            "extra":{"kind-cores":[8,8],"ram-of-kind-mb":[16384.0,16384.0],"width-by-class":[1,4,2],
              "largest-share":0.4,"overbooked":"trim","progress-pace-ns":0,"takes-grants":false,"lanes-count":false,
              "cost-in-answers":false,"waits-for-loads":[true,true,false],"writes-tables":[false,false,true]},
            "parties":[],
            "rules":{"answer-slack-ns":20000000,"cold-from":0.31,"cold-ns":14000000000,"fall-ns":3000000000,
              "overload-factor":2.5,"stop-sending-within-ns":2000000000,"turn-gap-ns":300000000},
            "stats":{"fields":["pending","x0"],"via":"inline"}}
            """;
}
