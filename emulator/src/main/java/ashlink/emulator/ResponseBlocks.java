package ashlink.emulator;

import ashlink.wire.Block;
import ashlink.wire.ByteBuf;
import ashlink.wire.Compression;
import ashlink.wire.QueryPacket;
import ashlink.wire.Revision;
import ashlink.wire.ServerPacket;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;

/** Builds the blocks that an emulated engine sends. */
final class ResponseBlocks {

    private ResponseBlocks() {}

    /** Returns the packets that ask the client for the rows of an insert. */
    static ByteBuf insertHeader(EngineStatement statement, int revision) throws IOException {
        ByteBuf header = new ByteBuf();
        if (Revision.hasTableColumns(revision)) {
            header.putVarUInt(ServerPacket.TABLE_COLUMNS.ordinal())
                    .putString("")
                    .putString("columns format version: 1\n");
        }
        List<Block.Column> columns = statement.insertColumns();
        header.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        new Block(columns, 0)
                .write(statement.packet().compressed() ? Compression.LZ4 : null, header);
        return header;
    }

    /** Returns a Data packet without rows that has the columns of a block. */
    static ByteBuf resultHeader(Block block, Compression compression) throws IOException {
        ByteBuf header = new ByteBuf();
        header.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        new Block(
                        block.columns().stream()
                                .map(
                                        column ->
                                                new Block.Column(
                                                        column.name(), column.type(), List.of()))
                                .toList(),
                        0)
                .write(compression, header);
        return header;
    }

    /** Returns the response to a query of {@code system.metrics}. */
    static ByteBuf metrics(QueryPacket queryPacket, Map<String, Double> gauges) throws IOException {
        ByteBuf packet = new ByteBuf();
        packet.putVarUInt(ServerPacket.DATA.ordinal()).putString("");
        List<Object> names = new ArrayList<>(gauges.keySet());
        List<Object> values = new ArrayList<>();
        names.forEach(name -> values.add(gauges.get(name)));
        Block.of(
                        new Block.Column("metric", "String", names),
                        new Block.Column("value", "Float64", values))
                .write(queryPacket.compressed() ? Compression.LZ4 : null, packet);
        packet.putVarUInt(ServerPacket.END_OF_STREAM.ordinal());
        return packet;
    }

    /** Returns a block of result rows. */
    static Block result(WorkHints hints, String engine, int rows) {
        List<Object> ids = new ArrayList<>();
        List<Object> values = new ArrayList<>();
        String value = hints.text("value", engine);
        int width = (int) hints.integer("width", 0);
        String paddedValue =
                width > 0
                        ? value.repeat(width / Math.max(1, value.length()) + 1).substring(0, width)
                        : value;
        for (int i = 0; i < rows; i++) {
            ids.add((long) i);
            values.add(paddedValue);
        }
        return Block.of(
                new Block.Column("id", "UInt64", ids), new Block.Column("value", "String", values));
    }

    /** Writes a packet of profile events. */
    static void writeProfileEvents(
            WorkHints hints, String engine, Map<String, Double> gauges, ByteBuf packet)
            throws IOException {
        List<Object> names = new ArrayList<>(List.of("WorkMilliseconds", "MemoryMegabytes"));
        List<Object> values =
                new ArrayList<>(
                        List.of(hints.integer("work_ms", 1), hints.integer("memory_mb", 1)));
        gauges.forEach(
                (name, value) -> {
                    names.add(name + "Permille");
                    values.add((long) (value * 1000));
                });
        int rows = names.size();
        packet.putVarUInt(ServerPacket.PROFILE_EVENTS.ordinal()).putString("");
        Block.of(
                        new Block.Column("host_name", "String", repeat(engine, rows)),
                        new Block.Column(
                                "current_time",
                                "DateTime",
                                repeat(System.currentTimeMillis() / 1000, rows)),
                        new Block.Column("thread_id", "UInt64", repeat(1L, rows)),
                        new Block.Column(
                                "type", "Enum8('increment' = 1, 'gauge' = 2)", repeat(2L, rows)),
                        new Block.Column("name", "String", names),
                        new Block.Column("value", "Int64", values))
                .write(null, packet);
    }

    private static List<Object> repeat(Object value, int times) {
        return new ArrayList<>(Collections.nCopies(times, value));
    }
}
