package ashlink.router;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Access to the files that an earlier build wrote, in {@code src/test/resources/stored}. */
public final class StoredFiles {

    private StoredFiles() {}

    /** Returns the path of a stored file or directory. */
    public static Path stored(String name) throws URISyntaxException {
        return Path.of(StoredFiles.class.getResource("/stored").toURI()).resolve(name);
    }

    /** Copies the files of a stored directory into an existing directory. */
    public static void copyFolder(String name, Path target) throws IOException, URISyntaxException {
        for (String file : names(stored(name))) {
            Files.copy(stored(name).resolve(file), target.resolve(file));
        }
    }

    /** Returns the sorted names of all files in a directory. */
    public static List<String> names(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }
}
