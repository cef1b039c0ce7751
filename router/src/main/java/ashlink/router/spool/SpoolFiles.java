package ashlink.router.spool;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The files of a spool; tests inject faults through it. */
public interface SpoolFiles extends Closeable {

    /** Creates a file of the first {@code length} bytes; after an exception it does not exist. */
    void write(String name, byte[] bytes, int length) throws IOException;

    /** Returns the content of a file. */
    byte[] read(String name) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Returns the names of all files of this router, of this start and of earlier ones. */
    List<String> list() throws IOException;

    /** Returns the name of the file of a page, for this start. */
    String name(String statement, int page);

    /** Tells whether a file belongs to this start. */
    boolean isOwn(String name);
}
