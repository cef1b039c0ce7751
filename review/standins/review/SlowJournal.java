package review;

import java.util.ArrayList;
import java.util.List;

/** A journal service that is slow to answer calls, and an engine that begins to drain meanwhile. */
final class SlowJournal extends Case {

    private static final long SLOW_MS = 1_000;

    public static void main(String[] args) {
        run(new SlowJournal(), args);
    }

    @Override
    boolean play() throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            engines.add(new Engine("s-0000000" + (i + 1), record, (lane, statement) -> lane.equals("ladung") ? 800 : 60));
        }
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            hosts.add(host(engines.get(i), i, "in_service"));
        }
        String first = Journal.event(1, true, String.join(",", hosts));
        Journal journal = new Journal(record, first);
        journal.answerAfter(trouble ? SLOW_MS : 0);
        RouterProcess router = register(new RouterProcess(root, temporary, journal.address(), first, 192, 1024, SETTINGS));
        router.start(record);
        List<Client.Request> requests = new ArrayList<>();
        Client client = new Client("c1", router.port, record);
        long startMs = Record.nowMs();
        long toldMs = 0;
        for (int i = 0; Record.nowMs() < startMs + 30_000; i++) {
            if (toldMs == 0 && Record.nowMs() > startMs + 5_000) {
                toldMs = journal.tell(host(engines.get(0), 0, "terminating"));
            }
            requests.add(client.send("abfrage", 2400, null, "select * from zaehler_" + (i % 7) + ".werte"));
            if (i % 10 == 0) {
                requests.add(client.send("ladung", 22000, String.format("%016x", i), "insert into zaehler_" + (i / 10 % 7) + ".werte values (" + i + ")"));
            }
            Daemons.pause(50);
        }
        // The longest time that the pages give until an event counts as told is 4 s; 2 s of grace, 50 ms on sockets.
        long boundMs = toldMs + 4_000 + 2_000 + 50;
        long late = engines.get(0).runs.stream().filter(run -> run.atMs() > boundMs).count();
        long lateLoads = engines.get(0).runs.stream().filter(run -> run.atMs() > boundMs && run.lane().equals("ladung")).count();
        long all = engines.stream().flatMap(engine -> engine.runs.stream()).filter(run -> run.atMs() > boundMs).count();
        record.say("event there at " + toldMs + " ms, nothing new allowed after " + boundMs + " ms");
        record.say("requests sent to the draining engine after that: " + late + " of " + all + ", of them loads: " + lateLoads);
        return late > 0;
    }

    private static String host(Engine engine, int i, String health) {
        return Journal.host(engine, "halle-" + (i % 3 + 1), i % 2 == 0 ? "typ-a" : "typ-b", 2, health);
    }
}
