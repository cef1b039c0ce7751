package ashlink.loadtest.bench;

import ashlink.wire.Block;
import ashlink.wire.BlockReader;
import ashlink.wire.ByteBuf;
import ashlink.wire.CityHash;
import ashlink.wire.Compression;
import ashlink.wire.StreamSource;
import ashlink.wire.TypeParser;
import ashlink.wire.WireLimits;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the codec alone: finding the end of a block of 8,192 rows, checksums and type parsing.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class CodecBench {

    private static final int ROWS = 8_192;

    /** Compression of the block. */
    @Param({"plain", "lz4", "zstd"})
    public String compression;

    private byte[] encodedBlock;
    private final ByteBuf copy = new ByteBuf();

    /** Creates the block; each row has an integer, a string of 16 bytes and a float. */
    @Setup
    public void setup() throws IOException {
        List<Object> numbers = new ArrayList<>();
        List<Object> texts = new ArrayList<>();
        List<Object> floats = new ArrayList<>();
        for (int i = 0; i < ROWS; i++) {
            numbers.add((long) i * 7919);
            texts.add(String.format("meter-%010d", i * 31));
            floats.add(i * 0.25);
        }
        ByteBuf buffer = new ByteBuf();
        Block.of(
                        new Block.Column("id", "UInt64", numbers),
                        new Block.Column("name", "String", texts),
                        new Block.Column("value", "Float64", floats))
                .write(
                        compression.equals("plain")
                                ? null
                                : Compression.valueOf(compression.toUpperCase(Locale.ROOT)),
                        buffer);
        encodedBlock = Arrays.copyOf(buffer.array(), buffer.size());
    }

    /**
     * Finds the end of the block and copies its bytes, as the router does when it forwards a block.
     */
    @Benchmark
    public long skipBlock() throws IOException {
        StreamSource in = new StreamSource(new ByteArrayInputStream(encodedBlock), 128 << 10);
        copy.clear();
        in.startTap(copy);
        long rows =
                new BlockReader(in, WireLimits.DEFAULT).skip(!compression.equals("plain")).rows();
        in.endTap();
        return rows + copy.size();
    }

    /** Computes the checksum of the block's bytes. */
    @Benchmark
    public long checksum() {
        return CityHash.hash128(encodedBlock, 0, encodedBlock.length)[0];
    }

    /** Parses a nested type. */
    @Benchmark
    public Object parseType() throws IOException {
        return TypeParser.parse(
                "Map(String, Array(Tuple(a Nullable(Decimal(18, 4)), b LowCardinality(String))))");
    }
}
