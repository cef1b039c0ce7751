package ashlink.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;

import com.github.housepower.misc.ClickHouseCityHash;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares {@link CityHash} with the implementation of a public client. */
class CityHashTest {

    @Test
    void equalsThePublicClientAtEveryLength() {
        byte[] bytes = new byte[5000];
        new Random(1).nextBytes(bytes);
        for (int i = 0; i < 30; i++) {
            // The public client treats bytes above 127 as negative at the end of inputs of 1 to 3
            // or 17 to 19 bytes.
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
