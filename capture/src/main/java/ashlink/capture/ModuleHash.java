package ashlink.capture;

import java.io.IOException;
import java.io.InputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A hash of a module's code, to tell whether a replay is by the same. */
public final class ModuleHash {

    private static final int SHOWN_BYTES = 8;

    private ModuleHash() {}

    /**
     * SHA-256 over the class files of the module and what it keeps beside itself, the first 8 bytes
     * in hex.
     */
    public static String of(Class<?> module) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String folder = "/" + module.getPackageName().replace('.', '/') + "/";
            for (String name :
                    new String[] {module.getSimpleName(), "State", "api/WorkloadManager"}) {
                try (InputStream in = module.getResourceAsStream(folder + name + ".class")) {
                    if (in != null) {
                        digest.update(in.readAllBytes());
                    }
                }
            }
            return HexFormat.of().formatHex(digest.digest(), 0, SHOWN_BYTES);
        } catch (NoSuchAlgorithmException | IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
