package ashlink.capture;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.DefaultWorkloadManager;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.nio.file.FileSystem;
import java.nio.file.FileSystems;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.security.ProtectionDomain;
import java.security.cert.Certificate;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.jar.JarEntry;
import java.util.jar.JarOutputStream;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the hash of a module depends on all class files of its package and nothing else. */
class ModuleHashTest {

    private static final String PACKAGE = "ashlink/decisions";

    @TempDir private Path directory;

    @BeforeEach
    void copyModule() throws Exception {
        URI location =
                DefaultWorkloadManager.class
                        .getProtectionDomain()
                        .getCodeSource()
                        .getLocation()
                        .toURI();
        Path classes = Path.of(location);
        if (Files.isDirectory(classes)) {
            copyAll(classes);
            return;
        }
        try (FileSystem jar = FileSystems.newFileSystem(classes)) {
            copyAll(jar.getPath("/"));
        }
    }

    private void copyAll(Path root) throws IOException {
        for (Path file : regularFiles(root)) {
            Path copy = directory.resolve(root.relativize(file).toString());
            Files.createDirectories(copy.getParent());
            Files.copy(file, copy);
        }
    }

    @Test
    void isTheSameForACopy() throws Exception {
        assertEquals(ModuleHash.of(DefaultWorkloadManager.class), hashOf(directory));
    }

    @Test
    void isTheSameForJarsWithAnyEntryOrder() throws Exception {
        List<Path> files = regularFiles(directory);
        assertTrue(files.size() > 3, files.size() + " files");
        Path jar = jar("sorted.jar", files);
        Collections.reverse(files);
        Path reversed = jar("reversed.jar", files);
        assertEquals(hashOf(directory), hashOf(jar));
        assertEquals(hashOf(directory), hashOf(reversed));
    }

    @Test
    void changesWithEachClassOfThePackageAndItsSubPackages() throws Exception {
        String before = hashOf(directory);
        for (Path file : regularFiles(directory.resolve(PACKAGE))) {
            byte[] content = Files.readAllBytes(file);
            byte[] changed = content.clone();
            changed[changed.length - 1] ^= 1;
            Files.write(file, changed);
            assertNotEquals(before, hashOf(directory), file + " does not affect the hash");
            Files.write(file, content);
        }
        assertEquals(before, hashOf(directory));
    }

    @Test
    void changesWithAnAddedAndARenamedClass() throws Exception {
        String before = hashOf(directory);
        Path added = directory.resolve(PACKAGE).resolve("api/Added.class");
        Files.write(added, new byte[] {1});
        String withAdded = hashOf(directory);
        assertNotEquals(before, withAdded);
        Files.move(added, added.resolveSibling("Renamed.class"));
        assertNotEquals(withAdded, hashOf(directory));
    }

    @Test
    void ignoresOtherPackagesAndOtherFiles() throws Exception {
        String before = hashOf(directory);
        Files.write(directory.resolve("ashlink/Other.class"), new byte[] {1});
        Files.write(directory.resolve(PACKAGE).resolve("notes.txt"), new byte[] {1});
        assertEquals(before, hashOf(directory));
    }

    @Test
    void rejectsAClassWithoutAJarOrDirectory() {
        IllegalStateException failure =
                assertThrows(IllegalStateException.class, () -> ModuleHash.of(String.class));
        assertTrue(failure.getMessage().contains("java.lang.String"), failure.getMessage());
        assertTrue(
                failure.getMessage().contains("neither a jar nor a directory"),
                failure.getMessage());
    }

    /** Returns the hash of the module with its class defined as loaded from a location. */
    private static String hashOf(Path location) throws IOException {
        return ModuleHash.of(
                new FixedSourceLoader().define(DefaultWorkloadManager.class, location));
    }

    /** Defines copies of classes with a given location as their code source. */
    private static final class FixedSourceLoader extends ClassLoader {

        FixedSourceLoader() {
            super(ModuleHashTest.class.getClassLoader());
        }

        Class<?> define(Class<?> original, Path location) throws IOException {
            String resource = "/" + original.getName().replace('.', '/') + ".class";
            try (InputStream in = original.getResourceAsStream(resource)) {
                byte[] content = in.readAllBytes();
                CodeSource source = new CodeSource(location.toUri().toURL(), (Certificate[]) null);
                return defineClass(
                        original.getName(),
                        content,
                        0,
                        content.length,
                        new ProtectionDomain(source, null));
            }
        }
    }

    private List<Path> regularFiles(Path root) throws IOException {
        try (Stream<Path> files = Files.walk(root)) {
            return files.filter(Files::isRegularFile)
                    .sorted()
                    .collect(Collectors.toCollection(ArrayList::new));
        }
    }

    private Path jar(String name, List<Path> files) throws IOException {
        Path jar = directory.resolve(name);
        try (OutputStream out = Files.newOutputStream(jar);
                JarOutputStream jarOut = new JarOutputStream(out)) {
            for (Path file : files) {
                jarOut.putNextEntry(
                        new JarEntry(directory.relativize(file).toString().replace('\\', '/')));
                Files.copy(file, jarOut);
                jarOut.closeEntry();
            }
        }
        return jar;
    }
}
