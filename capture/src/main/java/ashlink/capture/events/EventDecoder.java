package ashlink.capture.events;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Reads what {@link Out} wrote; an exception where it is not that. */
final class EventDecoder {

    private byte[] bytes = new byte[0];
    private int pos;
    private final List<String> texts = new ArrayList<>();

    void frame(byte[] payload) {
        bytes = payload;
        pos = 0;
    }

    void forget() {
        texts.clear();
    }

    boolean more() {
        return pos < bytes.length;
    }

    int get() throws IOException {
        if (pos >= bytes.length) {
            throw new IOException("a frame ends within an entry");
        }
        return bytes[pos++] & 0xff;
    }

    long whole() throws IOException {
        long value = 0;
        for (int shift = 0; shift < 64; shift += 7) {
            int b = get();
            value |= (long) (b & 0x7f) << shift;
            if (b < 0x80) {
                return value;
            }
        }
        throw new IOException("a number is too long");
    }

    int count(int most) throws IOException {
        long value = whole();
        if (value < 0 || value > most) {
            throw new IOException("a count of " + value + " is over " + most);
        }
        return (int) value;
    }

    long signed() throws IOException {
        long value = whole();
        return value >>> 1 ^ -(value & 1);
    }

    double fraction() throws IOException {
        int form = get();
        if (form == 0) {
            return Double.NaN;
        } else if (form == 1) {
            return whole();
        }
        long bits = 0;
        for (int i = 0; i < Long.BYTES; i++) {
            bits |= (long) get() << 8 * i;
        }
        return Double.longBitsToDouble(bits);
    }

    boolean flag() throws IOException {
        return get() != 0;
    }

    String text() throws IOException {
        int number = count(Integer.MAX_VALUE - 1);
        if (number == 0) {
            return null;
        }
        if (number <= texts.size()) {
            return texts.get(number - 1);
        }
        if (number != texts.size() + 1) {
            throw new IOException("text " + number + " was never said");
        }
        int length = count(bytes.length - pos);
        String text = new String(bytes, pos, length, StandardCharsets.UTF_8);
        pos += length;
        texts.add(text);
        return text;
    }

    <E extends Enum<E>> E choice(E[] values) throws IOException {
        return values[count(values.length - 1)];
    }
}
