package ashlink.control.tls;

/** A permission that a certificate grants to its holder. */
public enum Role {
    /** Permits taking part in membership and in the dissemination of commands. */
    ROUTER("router"),
    /** Permits reading the status of routers. */
    OBSERVE("observe"),
    /** Permits issuing and withdrawing drains. */
    DRAIN("drain"),
    /** Permits stopping routers. */
    STOP("stop");

    private final String word;

    Role(String word) {
        this.word = word;
    }

    /** Returns the name of this role in certificates and on the command line, in every build. */
    public String word() {
        return word;
    }
}
