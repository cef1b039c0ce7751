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
 * Serves the simulator protocol: reads batches of lines, passes each event to the instance of the
 * decision module that the line names, and writes one reply per batch. Not thread-safe.
 */
final class SimulatorAdapter {

    private static final long MISSING_ID = -1;

    private record Instance(WorkloadManager manager, Settings settings) {}

    private final Map<Long, Instance> instances = new HashMap<>();
    private final Map<Long, List<Endpoint>> endpointLists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private final ActionEncoder encoder = new ActionEncoder(reply);
    private long lineNumber;
    private long nowNs;

    /**
     * Serves batches until the input ends after a complete batch.
     *
     * @throws SimulatorProtocolException if the input violates the protocol; the message gives the
     *     line number
     */
    void run(BufferedReader in, Writer out) throws IOException {
        try {
            while (readBatch(in)) {
                out.append(reply).append(WireNames.BATCH_REPLY).append('\n');
                out.flush();
            }
        } catch (FieldException e) {
            throw new SimulatorProtocolException(lineNumber, e);
        }
    }

    /** Processes a batch and builds the reply; returns false at end of input. */
    private boolean readBatch(BufferedReader in) throws IOException {
        reply.setLength(0);
        String line = readLine(in);
        while (line != null && line.isEmpty()) {
            line = readLine(in);
        }
        if (line == null) {
            return false;
        }
        requireName(line, WireNames.BATCH_START);
        nowNs = LineFields.of(line).integer(WireNames.TIME_NS);
        line = requireLine(in);
        while (!line.equals(WireNames.BATCH_END)) {
            dispatch(line, in);
            line = requireLine(in);
        }
        return true;
    }

    private String readLine(BufferedReader in) throws IOException {
        lineNumber++;
        return in.readLine();
    }

    private String requireLine(BufferedReader in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            throw new SimulatorProtocolException("unexpected end of input within a batch");
        }
        return line;
    }

    private static void requireName(String line, String name) {
        if (!line.startsWith(name + " ")) {
            throw new SimulatorProtocolException(
                    "unexpected line '" + line + "': expected " + name);
        }
    }

    private void dispatch(String line, BufferedReader in) throws IOException {
        Fields fields = LineFields.of(line);
        String name = LineFields.name(line);
        switch (name) {
            case WireNames.ENDPOINT_LIST -> readEndpoints(fields, in);
            case WireNames.CREATE_INSTANCE -> createInstance(fields);
            case WireNames.REMOVE_INSTANCE ->
                    instances.remove(fields.integer(WireNames.INSTANCE_ID));
            default -> handleEvent(name, fields);
        }
    }

    private void readEndpoints(Fields fields, BufferedReader in) throws IOException {
        long count = fields.integer(WireNames.ENDPOINT_COUNT);
        List<Endpoint> endpoints = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            String line = requireLine(in);
            requireName(line, WireNames.ENDPOINT);
            endpoints.add(EventDecoder.endpoint(LineFields.of(line)));
        }
        endpointLists.put(fields.integer(WireNames.ENDPOINT_LIST_ID), List.copyOf(endpoints));
    }

    private void createInstance(Fields fields) {
        long id = fields.integer(WireNames.INSTANCE_ID);
        instances.remove(id);
        try {
            Settings settings = SettingsReader.read(fields);
            instances.put(id, new Instance(new DefaultWorkloadManager(settings), settings));
        } catch (IllegalArgumentException e) {
            encoder.encodeInstanceFailure(id, e.getMessage());
        }
    }

    private void handleEvent(String name, Fields fields) {
        long id = fields.integer(WireNames.INSTANCE_ID, MISSING_ID);
        Instance instance = instances.get(id);
        if (instance == null) {
            return;
        }
        Event event = decode(name, fields, instance.settings());
        if (event == null) {
            return;
        }
        for (Action action : instance.manager().onEvent(event, nowNs)) {
            encoder.encode(id, action);
        }
    }

    private Event decode(String name, Fields fields, Settings settings) {
        if (!name.equals(WireNames.ENDPOINTS_CHANGED)) {
            return EventDecoder.event(name, fields, settings.capabilities().reportsCost());
        }
        long listId = fields.integer(WireNames.ENDPOINT_LIST_ID, MISSING_ID);
        return EventDecoder.endpointsChanged(fields, endpointLists.getOrDefault(listId, List.of()));
    }
}
