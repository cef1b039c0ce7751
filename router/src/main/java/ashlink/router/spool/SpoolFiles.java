package ashlink.router.spool;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/** The files of a spool, as far as it needs them; tests put faults behind it. */
public interface SpoolFiles extends Closeable {

    /** Writes a new file; after an exception it is not there. */
    void write(String name, byte[] bytes, int length) throws IOException;

    /** All bytes of a file. */
    byte[] read(String name) throws IOException;

    /** Removes a file; one that is not there is no error. */
    void delete(String name) throws IOException;

    /** Names of all files that belong to this router, of this start and earlier ones. */
    List<String> list() throws IOException;

    /** The name of a page's file, of this start. */
    String name(String statement, int page);

    /** True for a file of this start. */
    boolean isOwn(String name);
}
