package ashlink.simulator;

import ashlink.config.flat.FieldException;
import ashlink.config.flat.Fields;
import ashlink.config.flat.SettingsReader;
import ashlink.decisions.DefaultWorkloadManager;
import ashlink.decisions.api.Action;
import ashlink.decisions.api.Endpoint;
import ashlink.decisions.api.Event;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.WorkloadManager;
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
final class SimulatorAdapter {

    private record Instance(WorkloadManager gateway, Settings settings) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, List<Endpoint>> lists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    /**
     * Reads batches until the input ends; throws {@link SimulatorProtocolException} for a line that
     * cannot be read.
     */
    void run(BufferedReader in, Writer out) throws IOException {
        try {
            while (readBatch(in)) {
                out.append(reply).append("OK\n");
                out.flush();
            }
        } catch (FieldException e) {
            throw new SimulatorProtocolException("line " + lineNumber + ": " + e.getMessage());
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
            throw new SimulatorProtocolException("expected SYNC");
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
            throw new SimulatorProtocolException("input ends within a batch");
        }
        return line;
    }

    private void take(String line, BufferedReader in) throws IOException {
        Fields fields = LineFields.of(line);
        int space = line.indexOf(' ');
        String name = space < 0 ? line : line.substring(0, space);
        switch (name) {
            case "LIST" -> readList(fields, in);
            case "NEW_INSTANCE" -> start(fields);
            case "RETIRE" -> instances.remove(fields.whole("router-id"));
            default -> hand(name, fields);
        }
    }

    private void readList(Fields fields, BufferedReader in) throws IOException {
        long count = fields.whole("lines");
        List<Endpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = need(in);
            if (!line.startsWith("M ")) {
                throw new SimulatorProtocolException("expected M");
            }
            entries.add(SimulatorCodec.entry(LineFields.of(line)));
        }
        lists.put(fields.whole("list"), List.copyOf(entries));
    }

    private void start(Fields fields) {
        long id = fields.whole("router-id");
        instances.remove(id);
        try {
            Settings settings = SettingsReader.read(fields);
            instances.put(id, new Instance(new DefaultWorkloadManager(settings), settings));
        } catch (IllegalArgumentException e) {
            SimulatorCodec.writeBroken(id, e.getMessage(), reply);
        }
    }

    private void hand(String name, Fields fields) {
        long id = fields.whole("router-id", -1);
        Instance instance = instances.get(id);
        if (instance == null) {
            return;
        }
        Event event =
                name.equals("ANNOUNCE")
                        ? SimulatorCodec.news(
                                fields, lists.getOrDefault(fields.whole("list", -1), List.of()))
                        : SimulatorCodec.event(
                                name, fields, instance.settings().capabilities().reportsCost());
        if (event != null) {
            for (Action action : instance.gateway().onEvent(event, now)) {
                SimulatorCodec.write(id, action, reply);
            }
        }
    }
}
