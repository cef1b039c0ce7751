package ashlink.config;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses {@code host:port}, where the host may be an IPv6 address in brackets. */
final class AddressParser {

    private static final int MAX_PORT = 65_535;

    /** Description of the accepted format for error messages. */
    static final String ACCEPTED = "HOST:PORT with a port from 0 to " + MAX_PORT;

    private AddressParser() {}

    /**
     * Returns the address, or an empty result if the text is invalid. Resolves a host name, which
     * may block.
     */
    static Optional<InetSocketAddress> parse(String text) {
        int colon = text.lastIndexOf(':');
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (colon <= 0 || port < 0 || port > MAX_PORT) {
            return Optional.empty();
        }
        String host = text.substring(0, colon).replaceAll("^\\[|]$", "");
        return Optional.of(new InetSocketAddress(host, port));
    }
}
