package ashlink.router.spool;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The files of a spool; an interface so that tests can inject faults. */
public interface SpoolFiles extends Closeable {

    /** Creates a file with the first {@code length} bytes; on an exception, no file remains. */
    void write(String name, byte[] bytes, int length) throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Returns the names of all files of this router, from this run and from earlier runs. */
    List<String> list() throws IOException;

    /** Returns the file name of a page that is stored by this run. */
    String fileName(String statement, int page);

    /** Returns whether a file was stored by this run. */
    boolean isFromThisRun(String name);
}
