package ashlink.capture.log;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** Files of one directory as used by a log; tests replace the implementation to inject faults. */
public interface Disk extends Closeable {

    /** File open for appending. */
    interface Appender extends Closeable {
        /** Appends bytes; after an exception, the file may contain any part of the bytes. */
        void append(byte[] bytes, int from, int length) throws IOException;

        /**
         * Forces all appended bytes to disk.
         *
         * @throws IOException if bytes appended since the last sync may be lost
         */
        void sync() throws IOException;
    }

    /** Returns the sorted names of the files. */
    List<String> list() throws IOException;

    /** Creates a file; fails if the file exists. */
    Appender create(String name) throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Returns the length of a file in bytes. */
    long size(String name) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;
}
