package ashlink.router.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.wire.ByteBuf;
import ashlink.wire.ClientPacket;
import ashlink.wire.WireException;
import ashlink.wire.WireLimits;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Tests the rendering of values of each column type, and the encoding of the rows of inserts. */
class ResultFormatTest {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final ResultFormat.PageInfo PAGE_INFO =
            new ResultFormat.PageInfo("s", "finished", null);

    /** Appends the values of a column. */
    private interface ValueWriter {
        void write(ByteBuf buffer) throws IOException;
    }

    /** Returns a block with one column named c. */
    private static byte[] block(String type, int rows, ValueWriter values) throws IOException {
        ByteBuf buffer = new ByteBuf();
        buffer.putVarUInt(1)
                .putByte(0)
                .putVarUInt(2)
                .putInt(-1)
                .putVarUInt(0)
                .putVarUInt(1)
                .putVarUInt(rows);
        buffer.putString("c").putString(type);
        values.write(buffer);
        return Arrays.copyOf(buffer.array(), buffer.size());
    }

    private static String json(String type, int rows, ValueWriter values) throws IOException {
        byte[] page =
                ResultFormat.JSON.render(
                        block(type, rows, values), new byte[0], 0, PAGE_INFO, WireLimits.DEFAULT);
        JsonNode node = JSON.readTree(page);
        assertEquals(type, node.get("columns").get(0).get("type").asText());
        return node.get("rows").toString();
    }

    private static String csv(String type, int rows, ValueWriter values) throws IOException {
        return new String(
                ResultFormat.CSV.render(
                        block(type, rows, values), new byte[0], 1, PAGE_INFO, WireLimits.DEFAULT),
                StandardCharsets.UTF_8);
    }

    private static ByteBuf appendOnes(ByteBuf buffer, int bytes) throws IOException {
        for (int i = 0; i < bytes; i++) {
            buffer.putByte(0xff);
        }
        return buffer;
    }

    @Test
    void rendersIntegersExactly() throws Exception {
        assertEquals("[[255],[0]]", json("UInt8", 2, buffer -> buffer.putByte(255).putByte(0)));
        assertEquals("[[-1]]", json("Int8", 1, buffer -> buffer.putByte(255)));
        assertEquals("[[65535]]", json("UInt16", 1, buffer -> buffer.putShort(65535)));
        assertEquals("[[4294967295]]", json("UInt32", 1, buffer -> buffer.putInt(-1)));
        assertEquals(
                "[[\"18446744073709551615\"]]", json("UInt64", 1, buffer -> buffer.putLong(-1)));
        assertEquals(
                "[[\"-9223372036854775808\"]]",
                json("Int64", 1, buffer -> buffer.putLong(Long.MIN_VALUE)));
        assertEquals(
                "[[\"340282366920938463463374607431768211455\"]]",
                json("UInt128", 1, buffer -> appendOnes(buffer, 16)));
        assertEquals("[[\"-1\"]]", json("Int256", 1, buffer -> appendOnes(buffer, 32)));
        assertEquals("18446744073709551615\r\n", csv("UInt64", 1, buffer -> buffer.putLong(-1)));
    }

    @Test
    void rendersFloatsAndDecimals() throws Exception {
        assertEquals(
                "[[0.1],[\"nan\"],[\"-inf\"]]",
                json(
                        "Float64",
                        3,
                        buffer ->
                                buffer.putLong(Double.doubleToLongBits(0.1))
                                        .putLong(Double.doubleToLongBits(Double.NaN))
                                        .putLong(
                                                Double.doubleToLongBits(
                                                        Double.NEGATIVE_INFINITY))));
        assertEquals(
                "[[0.1]]", json("Float32", 1, buffer -> buffer.putInt(Float.floatToIntBits(0.1f))));
        assertEquals("[[\"-0.0001\"]]", json("Decimal(18, 4)", 1, buffer -> buffer.putLong(-1)));
        assertEquals(
                "[[\"12345678901234567890.10\"]]",
                json(
                        "Decimal128(2)",
                        1,
                        buffer ->
                                buffer.putLong(
                                                new java.math.BigInteger("1234567890123456789010")
                                                        .longValue())
                                        .putLong(
                                                new java.math.BigInteger("1234567890123456789010")
                                                        .shiftRight(64)
                                                        .longValue())));
        assertEquals(
                "nan\r\n1.5\r\n",
                csv(
                        "Float64",
                        2,
                        buffer ->
                                buffer.putLong(Double.doubleToLongBits(Double.NaN))
                                        .putLong(Double.doubleToLongBits(1.5))));
    }

    @Test
    void rendersDatesTimesEnumsAndIdentifiers() throws Exception {
        assertEquals("[[\"2026-12-01\"]]", json("Date", 1, buffer -> buffer.putShort(20788)));
        assertEquals("[[\"1900-01-01\"]]", json("Date32", 1, buffer -> buffer.putInt(-25567)));
        assertEquals(
                "[[\"2026-12-01T00:00:00Z\"]]",
                json("DateTime", 1, buffer -> buffer.putInt(1796083200)));
        assertEquals(
                "[[\"2026-12-01T01:00:00+01:00\"]]",
                json("DateTime('Europe/Vienna')", 1, buffer -> buffer.putInt(1796083200)));
        assertEquals(
                "[[\"1969-12-31T23:59:59.999Z\"]]",
                json("DateTime64(3)", 1, buffer -> buffer.putLong(-1)));
        assertEquals(
                "[[\"it's\"],[\"7\"]]",
                json("Enum8('it\\'s' = -3, 'b' = 2)", 2, buffer -> buffer.putByte(-3).putByte(7)));
        assertEquals(
                "[[\"00112233-4455-6677-8899-aabbccddeeff\"]]",
                json(
                        "UUID",
                        1,
                        buffer ->
                                buffer.putLong(0x0011223344556677L).putLong(0x8899aabbccddeeffL)));
        assertEquals("[[\"10.0.0.1\"]]", json("IPv4", 1, buffer -> buffer.putInt(0x0a000001)));
        assertEquals("[[true],[false]]", json("Bool", 2, buffer -> buffer.putByte(1).putByte(0)));
    }

    @Test
    void rendersBytesThatAreNotValidUtf8() throws Exception {
        assertEquals(
                "[[\"a\\\"b\"],[{\"base64\":\"/w==\"}]]",
                json("String", 2, buffer -> buffer.putString("a\"b").putVarUInt(1).putByte(0xff)));
        byte[] raw =
                ResultFormat.CSV.render(
                        block(
                                "String",
                                2,
                                buffer -> buffer.putString("a\"b").putVarUInt(1).putByte(0xff)),
                        new byte[0],
                        0,
                        PAGE_INFO,
                        WireLimits.DEFAULT);
        assertEquals(
                "\"c\"\r\n\"a\"\"b\"\r\n\"\u00ff\"\r\n",
                new String(raw, StandardCharsets.ISO_8859_1),
                "CSV contains the bytes unchanged");
        assertEquals(
                "[[\"ab\\u0000\"]]",
                json("FixedString(3)", 1, buffer -> buffer.putByte('a').putByte('b').putByte(0)));
    }

    @Test
    void rendersNullableValues() throws Exception {
        assertEquals(
                "[[null],[5]]",
                json(
                        "Nullable(UInt8)",
                        2,
                        buffer -> buffer.putByte(1).putByte(0).putByte(9).putByte(5)));
        assertEquals(
                "\r\n5\r\n",
                csv(
                        "Nullable(UInt8)",
                        2,
                        buffer -> buffer.putByte(1).putByte(0).putByte(9).putByte(5)));
    }

    @Test
    void rendersArraysTuplesAndMaps() throws Exception {
        assertEquals(
                "[[[1,2]],[[]],[[3]]]",
                json(
                        "Array(UInt8)",
                        3,
                        buffer ->
                                buffer.putLong(2)
                                        .putLong(2)
                                        .putLong(3)
                                        .putByte(1)
                                        .putByte(2)
                                        .putByte(3)));
        assertEquals(
                "[[[1,\"x\"]]]",
                json("Tuple(a UInt8, b String)", 1, buffer -> buffer.putByte(1).putString("x")));
        assertEquals(
                "[[[[\"k\",7]]]]",
                json(
                        "Map(String, UInt8)",
                        1,
                        buffer -> buffer.putLong(1).putString("k").putByte(7)));
    }

    @Test
    void rendersLowCardinalityAndGeoTypes() throws Exception {
        assertEquals(
                "[[\"b\"],[null],[\"b\"]]",
                json(
                        "LowCardinality(Nullable(String))",
                        3,
                        buffer -> {
                            buffer.putLong(1)
                                    .putLong(1 << 9)
                                    .putLong(2)
                                    .putString("")
                                    .putString("b")
                                    .putLong(3);
                            buffer.putByte(1).putByte(0).putByte(1);
                        }));
        assertEquals(
                "[[[[1.5,2.5]]]]",
                json(
                        "Ring",
                        1,
                        buffer ->
                                buffer.putLong(1)
                                        .putLong(Double.doubleToLongBits(1.5))
                                        .putLong(Double.doubleToLongBits(2.5))));
    }

    @Test
    void encodedValuesAreRenderedUnchanged() throws Exception {
        for (String[] typeAndValue :
                new String[][] {
                    {"UInt64", "\"18446744073709551615\""},
                    {"Int8", "-128"},
                    {"Float64", "0.1"},
                    {"Float64", "\"nan\""},
                    {"Decimal(18, 4)", "\"-1.2345\""},
                    {"String", "\"\u00fc\""},
                    {"Bool", "true"},
                    {"Date", "\"2026-12-01\""},
                    {"DateTime", "\"2026-12-01T00:00:00Z\""},
                    {"DateTime64(3)", "\"1969-12-31T23:59:59.999Z\""},
                    {"UUID", "\"00112233-4455-6677-8899-aabbccddeeff\""},
                    {"Nullable(Int64)", "null"},
                    {"Int256", "\"-5\""}
                }) {
            byte[] header = block(typeAndValue[0], 0, buffer -> {});
            byte[] packet =
                    RowsEncoder.encode(
                            header,
                            JSON.readTree("[[" + typeAndValue[1] + "]]"),
                            WireLimits.DEFAULT);
            assertEquals(ClientPacket.DATA.ordinal(), packet[0]);
            byte[] page =
                    ResultFormat.JSON.render(
                            Arrays.copyOfRange(packet, 2, packet.length),
                            header,
                            0,
                            PAGE_INFO,
                            WireLimits.DEFAULT);
            assertEquals(
                    "[[" + typeAndValue[1] + "]]",
                    JSON.readTree(page).get("rows").toString(),
                    typeAndValue[0]);
        }
    }

    @Test
    void rejectsValuesThatAreInvalidForTheirType() throws Exception {
        for (String[] typeAndValue :
                new String[][] {
                    {"UInt8", "256"},
                    {"UInt8", "-1"},
                    {"Int8", "1.5"},
                    {"UInt8", "null"},
                    {"Date", "\"x\""},
                    {"Decimal(3, 1)", "123.4"},
                    {"Bool", "1"},
                    {"String", "5"},
                    {"Array(UInt8)", "[1]"}
                }) {
            WireException failure =
                    assertThrows(
                            WireException.class,
                            () ->
                                    RowsEncoder.encode(
                                            block(typeAndValue[0], 0, buffer -> {}),
                                            JSON.readTree("[[" + typeAndValue[1] + "]]"),
                                            WireLimits.DEFAULT),
                            typeAndValue[0] + " accepted " + typeAndValue[1]);
            assertTrue(
                    failure.getMessage().contains("row 0")
                            || failure.getMessage().contains("cannot be loaded"),
                    failure.getMessage());
        }
    }
}
