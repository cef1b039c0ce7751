package ashlink.config;

import ashlink.config.RouterConfig.ControlSpec;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads the settings of the control channel between routers: {@code (control ...)}. */
final class ControlConfigReader {

    private ControlConfigReader() {}

    static ControlSpec read(Section top) {
        try (Section section = top.section("control")) {
            InetSocketAddress listen =
                    section.has("listen") ? section.address("listen", null) : null;
            Map<String, InetSocketAddress> peers = peers(section);
            String keys = section.text("keys", listen == null ? "" : null);
            if (listen != null && !top.has("state-dir")) {
                section.reject(
                        "listen", "state-dir to be set as well, which holds the command log");
            }
            return new ControlSpec(listen, Path.of(keys), peers);
        }
    }

    private static Map<String, InetSocketAddress> peers(Section section) {
        Map<String, InetSocketAddress> peers = new LinkedHashMap<>();
        section.namedSections("peer")
                .forEach(
                        (name, peer) -> {
                            try (peer) {
                                peers.put(name, peer.address("address", null));
                            }
                        });
        return Map.copyOf(peers);
    }
}
