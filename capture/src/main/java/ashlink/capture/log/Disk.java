package ashlink.capture.log;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The files of one directory, as a log needs them; tests inject faults through it. */
public interface Disk extends Closeable {

    /** A file that is open for appending. */
    interface Appender extends Closeable {
        /** Appends bytes; after an exception any part of them may be in the file. */
        void append(byte[] bytes, int from, int length) throws IOException;

        /**
         * Returns once all appended bytes are on the disk.
         *
         * @throws IOException if bytes since the last sync may be lost
         */
        void sync() throws IOException;
    }

    /** Returns the names of the files, sorted. */
    List<String> list() throws IOException;

    /** Creates a file, which must not exist. */
    Appender create(String name) throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Returns the length of a file in bytes. */
    long size(String name) throws IOException;

    /** Deletes a file. */
    void delete(String name) throws IOException;
}
