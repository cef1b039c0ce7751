package ashlink.router;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** Files that an earlier build wrote, in {@code src/test/resources/stored}, and copies of them. */
public final class StoredFiles {

    private StoredFiles() {}

    /** A stored file or folder. */
    public static Path stored(String name) throws URISyntaxException {
        return Path.of(StoredFiles.class.getResource("/stored").toURI()).resolve(name);
    }

    /** Copies the files of a stored folder into one that is there. */
    public static void copyFolder(String name, Path to) throws IOException, URISyntaxException {
        for (String file : names(stored(name))) {
            Files.copy(stored(name).resolve(file), to.resolve(file));
        }
    }

    /** Names of all files of a folder, in order. */
    public static List<String> names(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }
}
