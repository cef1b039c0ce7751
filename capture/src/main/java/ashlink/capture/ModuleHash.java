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

/** Hash of the code of a decision module; a replay uses the hash to detect a different build. */
public final class ModuleHash {

    private static final String ALGORITHM = "SHA-256";
    private static final String CLASS_SUFFIX = ".class";

    /** Number of leading digest bytes used as the hash. */
    private static final int HASH_BYTES = 8;

    /** Separator between the name and the content of a class file in the digest input. */
    private static final byte NAME_END = 0;

    private ModuleHash() {}

    /**
     * Returns the hash of all class files in the package of a class and in its subpackages, in hex.
     * The hash depends only on the names and contents of the files, so a build has the same hash as
     * a jar and as a directory.
     *
     * @throws IllegalStateException if the class was loaded from neither a jar nor a directory, or
     *     if its class files cannot be read; the message contains the class name and the location
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
                    "invalid code source "
                            + location
                            + " of "
                            + module.getName()
                            + ": expected a URI",
                    e);
        }
        throw new IllegalStateException(
                "unsupported code source "
                        + location
                        + " of "
                        + module.getName()
                        + ": neither a jar nor a directory");
    }

    /** Returns the class files by name, sorted, with {@code /} as the separator in names. */
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

    /** Returns the same map as {@link #readDirectory}, read from a jar. */
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
                    "missing digest algorithm " + ALGORITHM + ": required of every Java platform",
                    e);
        }
    }
}
