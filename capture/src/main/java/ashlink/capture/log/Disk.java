package ashlink.capture.log;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The files of one folder, as far as a log needs them; tests put faults behind it. */
public interface Disk extends Closeable {

    /** A file that grows at its end. */
    interface Appender extends Closeable {
        /** Appends all of these bytes; an exception may leave any part of them behind. */
        void append(byte[] bytes, int from, int length) throws IOException;

        /**
         * Returns once all that was appended is on the disk; after an exception nothing is believed
         * to be.
         */
        void sync() throws IOException;
    }

    /** Names of the files, in order. */
    List<String> list() throws IOException;

    /** Makes a file that was not there. */
    Appender create(String name) throws IOException;

    /** All bytes of a file. */
    byte[] read(String name) throws IOException;

    /** Length of a file. */
    long size(String name) throws IOException;

    /** Removes a file. */
    void delete(String name) throws IOException;
}
