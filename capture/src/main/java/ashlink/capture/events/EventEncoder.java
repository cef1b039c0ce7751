package ashlink.capture.events;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** Writes values in few bytes: numbers by their size, texts once a segment. */
final class EventEncoder {

    private byte[] bytes = new byte[4096];
    private int size;
    private final Map<String, Integer> texts = new HashMap<>();

    byte[] bytes() {
        return bytes;
    }

    int size() {
        return size;
    }

    void clear() {
        size = 0;
    }

    /** From here on nothing that was said before counts. */
    void forget() {
        texts.clear();
    }

    void put(int b) {
        if (size == bytes.length) {
            bytes = Arrays.copyOf(bytes, 2 * size);
        }
        bytes[size++] = (byte) b;
    }

    void whole(long value) {
        long rest = value;
        while ((rest & ~0x7fL) != 0) {
            put((int) (rest & 0x7f | 0x80));
            rest >>>= 7;
        }
        put((int) rest);
    }

    /** A number that may be negative. */
    void signed(long value) {
        whole(value << 1 ^ value >> 63);
    }

    /** A fraction: one byte where it is a small whole number or not a number. */
    void fraction(double value) {
        if (Double.isNaN(value)) {
            put(0);
        } else if (value == Math.rint(value)
                && value >= 0
                && value < 1L << 40
                && Double.doubleToRawLongBits(value) != 1L << 63) {
            put(1);
            whole((long) value);
        } else {
            put(2);
            long bits = Double.doubleToRawLongBits(value);
            for (int i = 0; i < Long.BYTES; i++) {
                put((int) (bits >>> 8 * i));
            }
        }
    }

    void flag(boolean value) {
        put(value ? 1 : 0);
    }

    /** A text, or null: its number, with the text itself where the number is new. */
    void text(String value) {
        if (value == null) {
            whole(0);
            return;
        }
        Integer known = texts.get(value);
        if (known != null) {
            whole(known);
            return;
        }
        int number = texts.size() + 1;
        texts.put(value, number);
        whole(number);
        byte[] utf = value.getBytes(StandardCharsets.UTF_8);
        whole(utf.length);
        for (byte b : utf) {
            put(b);
        }
    }
}
