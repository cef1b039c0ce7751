package ashlink.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import com.github.housepower.misc.ClickHouseCityHash;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** {@link CityHash} beside the implementation of a public client. */
class CityHashTest {

    @Test
    void agreesWithAPublicClientAtEveryLength() {
        byte[] bytes = new byte[5000];
        new Random(1).nextBytes(bytes);
        for (int i = 0; i < 30; i++) {
            // That client takes bytes over 127 as negative at the end of texts of 1 to 3 or 17 to
            // 19
            // bytes.
            bytes[i] &= 0x7f;
        }
        for (int length = 0; length < 1000; length++) {
            assertArrayEquals(
                    ClickHouseCityHash.cityHash128(bytes, 3, length),
                    CityHash.hash128(bytes, 3, length),
                    "length " + length);
        }
        assertArrayEquals(
                ClickHouseCityHash.cityHash128(bytes, 0, 5000), CityHash.hash128(bytes, 0, 5000));
    }
}
