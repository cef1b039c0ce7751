package ashlink.wire;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;

/**
 * CityHash128 in version 1.0.2, the checksum of compressed frames. Later versions of CityHash, as
 * offered by libraries, return different values. A 128-bit number is represented as two longs, the
 * low half first.
 */
public final class CityHash {

    private static final VarHandle LONG =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);
    private static final VarHandle INT =
            MethodHandles.byteArrayViewVarHandle(int[].class, ByteOrder.LITTLE_ENDIAN);
    private static final long K0 = 0xc3a5c85c97cb3127L;
    private static final long K1 = 0xb492b66fbe98f273L;
    private static final long K2 = 0x9ae16a3b2f90404fL;
    private static final long K3 = 0xc949d7c7509e6557L;
    private static final long MUL = 0x9ddfea08eb382d69L;

    private CityHash() {}

    /** Hashes a range of an array; returns the low and the high half. */
    public static long[] hash128(byte[] s, int from, int length) {
        if (length >= 16) {
            return hash128WithSeed(
                    s, from + 16, length - 16, fetch64(s, from) ^ K3, fetch64(s, from + 8));
        } else if (length >= 8) {
            return hash128WithSeed(
                    s, from, 0, fetch64(s, from) ^ length * K0, fetch64(s, from + length - 8) ^ K1);
        }
        return hash128WithSeed(s, from, length, K0, K1);
    }

    private static long[] hash128WithSeed(
            byte[] s, int from, int length, long seedLow, long seedHigh) {
        if (length < 128) {
            return cityMurmur(s, from, length, seedLow, seedHigh);
        }
        long x = seedLow;
        long y = seedHigh;
        long z = length * K1;
        long v1 = Long.rotateRight(y ^ K1, 49) * K1 + fetch64(s, from);
        long v2 = Long.rotateRight(v1, 42) * K1 + fetch64(s, from + 8);
        long w1 = Long.rotateRight(y + z, 35) * K1 + x;
        long w2 = Long.rotateRight(x + fetch64(s, from + 88), 53) * K1;
        int p = from;
        int left = length;
        do {
            for (int half = 0; half < 2; half++) {
                x = Long.rotateRight(x + y + v1 + fetch64(s, p + 16), 37) * K1;
                y = Long.rotateRight(y + v2 + fetch64(s, p + 48), 42) * K1;
                x ^= w2;
                y ^= v1;
                z = Long.rotateRight(z ^ w1, 33);
                long a = v2 * K1 + fetch64(s, p);
                long b = x + w1 + a + fetch64(s, p + 24);
                long c = a + fetch64(s, p + 8) + fetch64(s, p + 16);
                v2 = Long.rotateRight(b, 21) + Long.rotateRight(c, 44) + a;
                v1 = c + fetch64(s, p + 24);
                a = z + w2 + fetch64(s, p + 32);
                b = y + a + fetch64(s, p + 56);
                c = a + fetch64(s, p + 40) + fetch64(s, p + 48);
                w2 = Long.rotateRight(b, 21) + Long.rotateRight(c, 44) + a;
                w1 = c + fetch64(s, p + 56);
                long swap = z;
                z = x;
                x = swap;
                p += 64;
            }
            left -= 128;
        } while (left >= 128);
        y += Long.rotateRight(w1, 37) * K0 + z;
        x += Long.rotateRight(v1 + z, 49) * K0;
        for (int done = 32; done < left + 32; done += 32) {
            y = Long.rotateRight(y - x, 42) * K0 + v2;
            int q = p + left - done;
            w1 += fetch64(s, q + 16);
            x = Long.rotateRight(x, 49) * K0 + w1;
            w1 += v1;
            long a = v1 + fetch64(s, q);
            long b = v2 + a + fetch64(s, q + 24);
            long c = a + fetch64(s, q + 8) + fetch64(s, q + 16);
            v2 = Long.rotateRight(b, 21) + Long.rotateRight(c, 44) + a;
            v1 = c + fetch64(s, q + 24);
        }
        x = hashLen16(x, v1);
        y = hashLen16(y, w1);
        return new long[] {hashLen16(x + v2, w2) + y, hashLen16(x + w2, y + v2)};
    }

    private static long[] cityMurmur(byte[] s, int from, int length, long seedLow, long seedHigh) {
        long a = seedLow;
        long b = seedHigh;
        long c;
        long d;
        int left = length - 16;
        if (left <= 0) {
            a = shiftMix(a * K1) * K1;
            c = b * K1 + hashLen0to16(s, from, length);
            d = shiftMix(a + (length >= 8 ? fetch64(s, from) : c));
        } else {
            c = hashLen16(fetch64(s, from + length - 8) + K1, a);
            d = hashLen16(b + length, c + fetch64(s, from + length - 16));
            a += d;
            int p = from;
            do {
                a = (a ^ shiftMix(fetch64(s, p) * K1) * K1) * K1;
                b ^= a;
                c = (c ^ shiftMix(fetch64(s, p + 8) * K1) * K1) * K1;
                d ^= c;
                p += 16;
                left -= 16;
            } while (left > 0);
        }
        a = hashLen16(a, c);
        b = hashLen16(d, b);
        return new long[] {a ^ b, hashLen16(b, a)};
    }

    private static long hashLen0to16(byte[] s, int from, int length) {
        if (length > 8) {
            long a = fetch64(s, from);
            long b = fetch64(s, from + length - 8);
            return hashLen16(a, Long.rotateRight(b + length, length)) ^ b;
        } else if (length >= 4) {
            long a = (int) INT.get(s, from) & 0xffffffffL;
            return hashLen16(length + (a << 3), (int) INT.get(s, from + length - 4) & 0xffffffffL);
        } else if (length > 0) {
            int y = (s[from] & 0xff) + ((s[from + (length >> 1)] & 0xff) << 8);
            int z = length + ((s[from + length - 1] & 0xff) << 2);
            return shiftMix(y * K2 ^ z * K3) * K2;
        }
        return K2;
    }

    private static long shiftMix(long value) {
        return value ^ value >>> 47;
    }

    private static long hashLen16(long low, long high) {
        long a = (low ^ high) * MUL;
        a ^= a >>> 47;
        long b = (high ^ a) * MUL;
        b ^= b >>> 47;
        return b * MUL;
    }

    private static long fetch64(byte[] s, int index) {
        return (long) LONG.get(s, index);
    }
}
