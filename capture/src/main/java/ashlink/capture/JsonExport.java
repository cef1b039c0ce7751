package ashlink.capture;

import ashlink.capture.events.Entry;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.function.Consumer;

/**
 * Writes entries as JSON, one object per line, with the form of the entry and its fields by name.
 * Events and actions also have a kind. The names are the names of the records and their components,
 * so renaming a record component changes the output. Not thread-safe.
 */
public final class JsonExport implements Consumer<Entry>, AutoCloseable {

    private static final String FORM = "form";
    private static final String TIME = "now_ns";
    private static final String EVENT = "event";
    private static final String ACTIONS = "actions";
    private static final String KIND = "kind";

    private final ObjectMapper mapper = new ObjectMapper();
    private final OutputStream out;

    /** Creates an export to a stream; {@link #close} flushes the stream but does not close it. */
    public JsonExport(OutputStream out) {
        this.out = out;
        mapper.getFactory().configure(JsonGenerator.Feature.AUTO_CLOSE_TARGET, false);
    }

    /**
     * Writes an entry.
     *
     * @throws UncheckedIOException if writing to the stream fails
     */
    @Override
    public void accept(Entry entry) {
        ObjectNode line = mapper.createObjectNode();
        line.put(FORM, entry.getClass().getSimpleName().toLowerCase(Locale.ROOT));
        if (entry instanceof Entry.Step step) {
            line.put(TIME, step.nowNs());
            line.set(EVENT, withKind(step.event()));
            ArrayNode actions = line.putArray(ACTIONS);
            step.actions().forEach(action -> actions.add(withKind(action)));
        } else {
            line.setAll((ObjectNode) mapper.valueToTree(entry));
        }
        try {
            out.write(mapper.writeValueAsBytes(line));
            out.write('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private ObjectNode withKind(Object value) {
        ObjectNode node = mapper.createObjectNode();
        node.put(KIND, value.getClass().getSimpleName());
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
