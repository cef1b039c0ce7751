package ashlink.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/**
 * Properties of the codec: round trips, and corrupted input, which must not cause a hang, an
 * overrun or any exception other than {@link WireException}.
 */
class CodecProperties {

    private static final WireLimits SMALL =
            new WireLimits(1 << 10, 1 << 16, 16, 64, 1 << 20, 1 << 20);

    private static StreamSource source(ByteBuf byteBuf) {
        return new StreamSource(
                new ByteArrayInputStream(byteBuf.array(), 0, byteBuf.size()),
                7); // values cross the boundary of the 7-byte buffer
    }

    @Property(seed = "101")
    void numbersRoundTrip(@ForAll @LongRange(min = 0) long value) throws IOException {
        assertEquals(value, source(new ByteBuf().putVarUInt(value)).readVarUInt());
        assertEquals(value, source(new ByteBuf().putLong(value)).readLong());
    }

    @Property(tries = 200, seed = "102")
    void queriesRoundTrip(
            @ForAll @StringLength(max = 300) String statement,
            @ForAll @StringLength(max = 20) String id,
            @ForAll boolean compressed,
            @ForAll @IntRange(min = Revision.SETTINGS_AS_STRINGS, max = Revision.HIGHEST)
                    int revision)
            throws IOException {
        ClientInfo info = new ClientInfo("u", id, "a:1", "os", "h", "n", 1, 2, revision, 3, "q");
        QueryPacket queryPacket =
                new QueryPacket(
                        id,
                        info,
                        List.of(new Setting("a", 1, "b")),
                        QueryPacket.COMPLETE,
                        compressed,
                        statement.replace('\ud800', ' '));
        ByteBuf bytes = new ByteBuf();
        queryPacket.write(revision, bytes);
        StreamSource in = source(bytes);
        assertEquals(ClientPacket.QUERY.ordinal(), in.readVarUInt());
        QueryPacket decoded = QueryPacket.read(in, revision, SMALL);
        assertEquals(
                new String(
                        queryPacket.statement().getBytes(java.nio.charset.StandardCharsets.UTF_8),
                        java.nio.charset.StandardCharsets.UTF_8),
                decoded.statement());
        assertEquals(queryPacket.settings(), decoded.settings());
        assertEquals(-1, in.readByteOrEnd());
    }

    @Provide
    Arbitrary<String> types() {
        Arbitrary<String> plain =
                Arbitraries.of(
                        "UInt8",
                        "Int256",
                        "String",
                        "Float64",
                        "Date",
                        "DateTime('UTC')",
                        "UUID",
                        "FixedString(3)",
                        "Decimal(18, 4)",
                        "Decimal256(2)",
                        "Enum8('a, (' = 1, 'b\\'' = -2)",
                        "DateTime64(3, 'UTC')",
                        "IPv6",
                        "Bool",
                        "IntervalDay",
                        "Nothing",
                        "LowCardinality(String)",
                        "LowCardinality(Nullable(String))");
        return Arbitraries.recursive(
                () -> plain,
                inner ->
                        Arbitraries.oneOf(
                                inner.map(text -> "Array(" + text + ")"),
                                inner.map(
                                        text ->
                                                text.startsWith("Low")
                                                        ? text
                                                        : "Nullable(" + text + ")"),
                                inner.map(text -> "Tuple(x " + text + ", `y z` UInt8)"),
                                inner.map(text -> "Map(String, " + text + ")")),
                0,
                8);
    }

    @Property(tries = 300, seed = "103")
    void typesAreParsedAndTruncatedTypesAreParsedOrRejected(
            @ForAll("types") String type, @ForAll @IntRange(min = 1, max = 200) int removed)
            throws WireException {
        TypeParser.parse(type);
        String truncated = type.substring(0, Math.max(0, type.length() - removed));
        try {
            TypeParser.parse(truncated);
        } catch (WireException e) {
            assertEquals(
                    true,
                    e.reason() == WireException.Reason.MALFORMED
                            || e.reason() == WireException.Reason.UNKNOWN_TYPE,
                    e.reason().toString());
        }
    }

    @Property(tries = 200, seed = "104")
    void blocksAreSkippedAndReadToTheirEnd(
            @ForAll @Size(max = 20) List<@StringLength(max = 200) String> texts,
            @ForAll @IntRange(min = 0, max = 3) int compressionIndex)
            throws IOException {
        List<Object> strings = new ArrayList<>(texts);
        List<Object> longs = new ArrayList<>();
        texts.forEach(text -> longs.add((long) text.length()));
        Block block =
                Block.of(
                        new Block.Column("s", "String", strings),
                        new Block.Column("n", "UInt64", longs));
        Compression compression =
                compressionIndex == 0 ? null : Compression.values()[compressionIndex - 1];
        ByteBuf bytes = new ByteBuf();
        block.write(compression, bytes);
        bytes.putByte(42);
        StreamSource in = source(bytes);
        assertEquals(
                new BlockReader.Size(texts.size(), 2),
                new BlockReader(in, SMALL).skip(compression != null));
        assertEquals(42, in.readByte());
        StreamSource again = source(bytes);
        assertEquals(
                texts.size(), new BlockReader(again, SMALL).read(compression != null, 1000).rows());
    }

    @Property(tries = 2000, seed = "105")
    void corruptedBlocksThrowOnlyWireException(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 400) Integer> positions,
            @ForAll byte mask,
            @ForAll @IntRange(min = 0, max = 3) int compressionIndex)
            throws IOException {
        Block block =
                Block.of(
                        new Block.Column(
                                "s",
                                "Array(String)".substring(6, 12),
                                List.of("one", "two", "three")),
                        new Block.Column("n", "UInt64", List.of(1L, 2L, 3L)));
        Compression compression =
                compressionIndex == 0 ? null : Compression.values()[compressionIndex - 1];
        ByteBuf bytes = new ByteBuf();
        block.write(compression, bytes);
        for (int i : positions) {
            bytes.array()[i % bytes.size()] ^= (byte) (mask | 1);
        }
        for (boolean compressed : new boolean[] {compression != null, compression == null}) {
            try {
                new BlockReader(source(bytes), SMALL).skip(compressed);
                new BlockReader(source(bytes), SMALL).read(compressed, 1000);
            } catch (WireException expected) {
                // the only exception allowed
            }
        }
    }

    @Property(tries = 500, seed = "106")
    void flippedBitInAFrameIsDetected(
            @ForAll @IntRange(min = 0, max = 100_000) int bit,
            @ForAll("methods") Compression compression)
            throws IOException {
        ByteBuf bytes = new ByteBuf();
        Block.of(new Block.Column("s", "String", List.of("a".repeat(100), "b".repeat(50))))
                .write(compression, bytes);
        int flipped = bit % (bytes.size() * 8);
        bytes.array()[flipped / 8] ^= (byte) (1 << flipped % 8);
        assertThrows(WireException.class, () -> new BlockReader(source(bytes), SMALL).skip(true));
    }

    @Provide
    Arbitrary<Compression> methods() {
        return Arbitraries.of(Compression.class);
    }

    @Property(tries = 1000, seed = "107")
    void randomInputThrowsOnlyWireException(@ForAll byte[] input) throws IOException {
        ByteBuf byteBuf = new ByteBuf().append(input, 0, input.length);
        for (int reader = 0; reader < 5; reader++) {
            try {
                switch (reader) {
                    case 0 -> QueryPacket.read(source(byteBuf), Revision.HIGHEST, SMALL);
                    case 1 -> Hello.Client.read(source(byteBuf), WireLimits.LOGIN);
                    case 2 -> ServerError.read(source(byteBuf), SMALL);
                    case 3 -> new BlockReader(source(byteBuf), SMALL).skip(false);
                    default -> Hello.Server.read(source(byteBuf), SMALL);
                }
            } catch (WireException expected) {
                // the only exception allowed
            }
        }
    }

    @Property(tries = 100, seed = "108")
    void tapHoldsAllBytesRead(@ForAll @Size(max = 30) List<@StringLength(max = 30) String> texts)
            throws IOException {
        ByteBuf bytes = new ByteBuf();
        for (String text : texts) {
            bytes.putString(text);
        }
        StreamSource in = source(bytes);
        ByteBuf tap = new ByteBuf();
        in.startTap(tap);
        in.skipStrings(texts.size(), 1000);
        in.endTap();
        assertEquals(
                true, Arrays.equals(bytes.array(), 0, bytes.size(), tap.array(), 0, tap.size()));
    }
}
