package ashlink.capture;

import ashlink.capture.events.Entry;
import ashlink.capture.events.EntryReader;
import ashlink.capture.log.Disk;
import ashlink.capture.log.Segment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Reads a capture as far as it is whole, segment by segment, and says what is not. */
public final class CaptureReader {

    /** What was found of a segment. */
    public record Found(
            String name,
            Segment.State state,
            long boot,
            int number,
            long firstEntry,
            long entries,
            long bytes,
            String why) {}

    private final Disk disk;

    /** Reads that folder. */
    public CaptureReader(Disk disk) {
        this.disk = disk;
    }

    /**
     * Gives all entries in order; a break between segments, and one within, is given as a gap of
     * unknown size (0).
     */
    public List<Found> read(Consumer<Entry> to) throws IOException {
        List<Found> found = new ArrayList<>();
        EntryReader reader = new EntryReader();
        Segment.Contents before = null;
        for (String name : disk.list()) {
            if (!name.endsWith(".seg")) {
                continue;
            }
            byte[] bytes = disk.read(name);
            Segment.Contents contents = Segment.read(bytes);
            boolean follows =
                    contents.number() == 0 && contents.boot() != 0
                            || before != null
                                    && before.boot() == contents.boot()
                                    && before.state() == Segment.State.WHOLE
                                    && before.number() + 1 == contents.number();
            if (!follows) {
                to.accept(new Entry.Gap(0));
            }
            reader.startSegment();
            long[] count = new long[1];
            Segment.State state = contents.state();
            String why = contents.why();
            try {
                for (byte[] frame : contents.frames()) {
                    reader.read(
                            frame,
                            entry -> {
                                count[0]++;
                                to.accept(entry);
                            });
                }
            } catch (IOException | IllegalArgumentException e) {
                state = Segment.State.DAMAGED;
                why = String.valueOf(e.getMessage());
            }
            found.add(
                    new Found(
                            name,
                            state,
                            contents.boot(),
                            contents.number(),
                            contents.firstEntry(),
                            count[0],
                            bytes.length,
                            why));
            before =
                    new Segment.Contents(
                            state,
                            contents.boot(),
                            contents.number(),
                            contents.firstEntry(),
                            List.of(),
                            contents.readTo(),
                            why);
        }
        return found;
    }
}
