package ashlink.drill;

import ashlink.Gateway;
import ashlink.Gateway.Action;
import ashlink.Gateway.Event;
import ashlink.Gateway.ListEntry;
import ashlink.Gateway.Settings;
import ashlink.Rules;
import ashlink.config.flat.FieldException;
import ashlink.config.flat.Fields;
import ashlink.config.flat.SettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Plays the simulator's wire: reads batches, hands each event to its instance, writes one reply a
 * batch.
 */
final class Drill {

    private record Instance(Gateway gateway, Settings settings) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, List<ListEntry>> lists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    /**
     * Reads batches until the input ends; throws {@link WireException} for a line that cannot be
     * read.
     */
    void run(BufferedReader in, Writer out) throws IOException {
        try {
            while (readBatch(in)) {
                out.append(reply).append("OK\n");
                out.flush();
            }
        } catch (FieldException e) {
            throw new WireException("line " + lineNumber + ": " + e.getMessage());
        }
    }

    private boolean readBatch(BufferedReader in) throws IOException {
        reply.setLength(0);
        String line = next(in);
        while (line != null && line.isEmpty()) {
            line = next(in);
        }
        if (line == null) {
            return false;
        }
        if (!line.startsWith("SYNC ")) {
            throw new WireException("expected SYNC");
        }
        now = LineFields.of(line).whole("moment-ns");
        for (line = need(in); !line.equals("END"); line = need(in)) {
            take(line, in);
        }
        return true;
    }

    private String next(BufferedReader in) throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private String need(BufferedReader in) throws IOException {
        String line = next(in);
        if (line == null) {
            throw new WireException("input ends within a batch");
        }
        return line;
    }

    private void take(String line, BufferedReader in) throws IOException {
        Fields f = LineFields.of(line);
        int space = line.indexOf(' ');
        String name = space < 0 ? line : line.substring(0, space);
        switch (name) {
            case "LIST" -> readList(f, in);
            case "NEW_INSTANCE" -> start(f);
            case "RETIRE" -> instances.remove(f.whole("router-id"));
            default -> hand(name, f);
        }
    }

    private void readList(Fields f, BufferedReader in) throws IOException {
        long count = f.whole("lines");
        List<ListEntry> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = need(in);
            if (!line.startsWith("M ")) {
                throw new WireException("expected M");
            }
            entries.add(Codec.entry(LineFields.of(line)));
        }
        lists.put(f.whole("list"), List.copyOf(entries));
    }

    private void start(Fields f) {
        long id = f.whole("router-id");
        instances.remove(id);
        try {
            Settings settings = SettingsReader.read(f);
            instances.put(id, new Instance(new Rules(settings), settings));
        } catch (IllegalArgumentException e) {
            Codec.writeBroken(id, e.getMessage(), reply);
        }
    }

    private void hand(String name, Fields f) {
        long id = f.whole("router-id", -1);
        Instance instance = instances.get(id);
        if (instance == null) {
            return;
        }
        Event event =
                name.equals("ANNOUNCE")
                        ? Codec.news(f, lists.getOrDefault(f.whole("list", -1), List.of()))
                        : Codec.event(name, f, instance.settings().allowed().costInAnswers());
        if (event != null) {
            for (Action action : instance.gateway().on(event, now)) {
                Codec.write(id, action, reply);
            }
        }
    }
}
