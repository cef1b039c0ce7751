package ashlink.control.tls;

/** What the holder of a certificate may do. */
public enum Role {
    /** Takes part in membership and command dissemination. */
    ROUTER("router"),
    /** Reads the state of routers. */
    OBSERVE("observe"),
    /** Issues and withdraws drains. */
    DRAIN("drain"),
    /** Stops routers. */
    STOP("stop");

    private final String word;

    Role(String word) {
        this.word = word;
    }

    /** The word in certificates and on the command line; the same in every build. */
    public String word() {
        return word;
    }
}
