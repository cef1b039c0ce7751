package ashlink.wire;

import java.io.IOException;

/** Reads one value of a type that has no nested types. Stateless. */
@FunctionalInterface
interface ScalarReader {

    /** Reads the next value; null only for the type {@code Nothing}. */
    Object read(ByteSource in) throws IOException;
}
