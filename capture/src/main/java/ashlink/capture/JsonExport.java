package ashlink.capture;

import ashlink.capture.events.Entry;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/**
 * Writes entries as JSON, one a line: the form, its fields by name, and for events and actions
 * their kind.
 */
public final class JsonExport implements Consumer<Entry>, AutoCloseable {

    private final ObjectMapper mapper = new ObjectMapper();
    private final OutputStream out;

    /** Writes to that stream. */
    public JsonExport(OutputStream out) {
        this.out = out;
        mapper.getFactory().configure(JsonGenerator.Feature.AUTO_CLOSE_TARGET, false);
    }

    @Override
    public void accept(Entry entry) {
        ObjectNode line = mapper.createObjectNode();
        line.put("form", entry.getClass().getSimpleName().toLowerCase(java.util.Locale.ROOT));
        if (entry instanceof Entry.Step step) {
            line.put("now_ns", step.nowNs());
            line.set("event", tagged(step.event()));
            ArrayNode actions = line.putArray("actions");
            step.actions().forEach(action -> actions.add(tagged(action)));
        } else {
            line.setAll((ObjectNode) mapper.valueToTree(entry));
        }
        try {
            out.write(mapper.writeValueAsBytes(line));
            out.write(10);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ObjectNode tagged(Object value) {
        ObjectNode node = mapper.createObjectNode();
        node.put("kind", value.getClass().getSimpleName());
        if (value.getClass().getRecordComponents().length > 0) {
            node.setAll((ObjectNode) mapper.valueToTree(value));
        }
        return node;
    }

    @Override
    public void close() throws IOException {
        out.flush();
    }
}
