package ashlink.control.tls;

import java.util.Locale;

/** What the holder of a certificate may do. */
public enum Role {
    /** Is a router: gossips, and carries notices. */
    ROUTER,
    /** Asks for state. */
    OBSERVE,
    /** Issues drains and their withdrawal. */
    DRAIN,
    /** Stops routers. */
    STOP;

    /** The word in certificates and on the command line. */
    public String word() {
        return name().toLowerCase(Locale.ROOT);
    }
}
