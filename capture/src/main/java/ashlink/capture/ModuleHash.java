package ashlink.capture;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.CodeSource;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import java.util.stream.Stream;

/** A hash of the code of a decision module, by which a replay recognizes another build. */
public final class ModuleHash {

    private static final String ALGORITHM = "SHA-256";
    private static final String CLASS_SUFFIX = ".class";

    /** Bytes of the digest that the hash keeps. */
    private static final int HASH_BYTES = 8;

    /** Separates the name of a class file from its content in the digest. */
    private static final byte NAME_END = 0;

    private ModuleHash() {}

    /**
     * Returns the hash of all class files in the package of a class and in its sub-packages, in
     * hex. It depends on the names and contents of the files alone: the same build has the same
     * hash as a jar and as a directory.
     *
     * @throws IllegalStateException if the class comes from neither a jar nor a directory, or its
     *     class files cannot be read; the message names the class and the place
     */
    public static String of(Class<?> module) {
        Path codeSource = codeSource(module);
        String packagePath = module.getPackageName().replace('.', '/') + "/";
        try {
            Map<String, byte[]> classFiles =
                    Files.isDirectory(codeSource)
                            ? readDirectory(codeSource, packagePath)
                            : readJar(codeSource, packagePath);
            return hash(classFiles);
        } catch (IOException e) {
            throw new IllegalStateException(
                    "cannot read the class files of " + module.getName() + " in " + codeSource, e);
        }
    }

    private static Path codeSource(Class<?> module) {
        CodeSource codeSource = module.getProtectionDomain().getCodeSource();
        URL location = codeSource == null ? null : codeSource.getLocation();
        try {
            if (location != null && location.getProtocol().equals("file")) {
                return Path.of(location.toURI());
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException(
                    module.getName() + " has the malformed code source " + location, e);
        }
        throw new IllegalStateException(
                module.getName()
                        + " comes from neither a jar nor a directory; its code source is "
                        + location);
    }

    /** Returns the class files by name, with {@code /} as separator, in the order of names. */
    private static Map<String, byte[]> readDirectory(Path directory, String packagePath)
            throws IOException {
        Map<String, byte[]> classFiles = new TreeMap<>();
        try (Stream<Path> files = Files.walk(directory.resolve(packagePath))) {
            for (Path file : files.filter(Files::isRegularFile).toList()) {
                String name =
                        directory
                                .relativize(file)
                                .toString()
                                .replace(file.getFileSystem().getSeparator(), "/");
                if (name.endsWith(CLASS_SUFFIX)) {
                    classFiles.put(name, Files.readAllBytes(file));
                }
            }
        }
        return classFiles;
    }

    /** Like {@link #readDirectory}, from a jar. */
    private static Map<String, byte[]> readJar(Path jar, String packagePath) throws IOException {
        Map<String, byte[]> classFiles = new TreeMap<>();
        try (JarFile jarFile = new JarFile(jar.toFile())) {
            for (JarEntry entry : jarFile.stream().toList()) {
                String name = entry.getName();
                if (name.startsWith(packagePath) && name.endsWith(CLASS_SUFFIX)) {
                    try (InputStream in = jarFile.getInputStream(entry)) {
                        classFiles.put(name, in.readAllBytes());
                    }
                }
            }
        }
        return classFiles;
    }

    private static String hash(Map<String, byte[]> classFiles) {
        MessageDigest digest = newDigest();
        classFiles.forEach(
                (name, content) -> {
                    digest.update(name.getBytes(StandardCharsets.UTF_8));
                    digest.update(NAME_END);
                    digest.update(content);
                });
        return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "every Java platform has " + ALGORITHM + ", this one does not", e);
        }
    }
}
