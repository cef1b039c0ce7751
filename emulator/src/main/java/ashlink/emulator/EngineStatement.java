package ashlink.emulator;

import ashlink.emulator.model.Job;
import ashlink.wire.Block;
import ashlink.wire.Compression;
import ashlink.wire.QueryPacket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A statement as an emulated engine reads it: the query packet and its instructions. */
final class EngineStatement {

    private static final int HIGHEST_PRIORITY = 4;

    private final QueryPacket packet;
    private final WorkHints hints;
    private final String text;
    private final String upperCaseText;

    EngineStatement(QueryPacket packet) {
        this.packet = packet;
        this.hints = new WorkHints(packet.statement());
        this.text = packet.statement().replaceAll("(?s)/\\*.*?\\*/", " ").strip();
        this.upperCaseText = text.toUpperCase(Locale.ROOT);
    }

    QueryPacket packet() {
        return packet;
    }

    WorkHints hints() {
        return hints;
    }

    /** Returns the text without comments. */
    String text() {
        return text;
    }

    boolean readsMetrics() {
        return text.contains("system.metrics");
    }

    boolean isInsert() {
        return upperCaseText.startsWith("INSERT");
    }

    /** Returns true if the client sends the rows of an insert. */
    boolean hasInlineData() {
        return isInsert() && !upperCaseText.contains("SELECT");
    }

    /** Returns the columns that an insert expects. */
    List<Block.Column> insertColumns() {
        List<Block.Column> columns = new ArrayList<>();
        for (String column : hints.text("columns", "id:UInt64,value:String").split(",")) {
            int colon = column.indexOf(':');
            columns.add(
                    new Block.Column(
                            column.substring(0, colon), column.substring(colon + 1), List.of()));
        }
        return columns;
    }

    /** Returns the compression of the result blocks; null for none. */
    Compression resultCompression() {
        if (!packet.compressed()) {
            return null;
        }
        return hints.text("compression", "lz4").equals("zstd") ? Compression.ZSTD : Compression.LZ4;
    }

    Job.Demand demand() {
        String grant = packet.setting("max_memory_usage");
        String priority = packet.setting("priority");
        double grantMb = grant == null ? 0 : Double.parseDouble(grant) / (1 << 20);
        int modelPriority = priority == null ? 1 : HIGHEST_PRIORITY - Integer.parseInt(priority);
        return new Job.Demand(
                hints.number("work_ms", 1),
                (int) hints.integer("threads", 1),
                hints.number("io", 0),
                hints.number("memory_mb", 1),
                grantMb,
                modelPriority,
                hints.integer("tables", 0),
                hints.integer("holds", 0) > 0,
                hints.integer("waits", 0) > 0);
    }
}
