package ashlink.router.core;

import java.util.Locale;

/** How a statement was answered. */
public enum StatementOutcome {
    /** The engine's whole answer. */
    SERVED,
    /** The engine's exception, or one of this router about what the engine answered. */
    ERROR,
    /** Not run: trying again is harmless. */
    REFUSED,
    /** The same, of a request that the decisions never saw. */
    TURNED_AWAY,
    /** No promise about its effect. */
    FAILED,
    /** Its answer broke off after its first part. */
    BROKEN,
    /** The client called it off. */
    CANCELLED,
    /** The client sent what makes no sense. */
    BAD_INPUT,
    /** The client is gone; nobody was told. */
    GONE;

    /** True where the statement provably did not run. */
    public boolean isHarmless() {
        return this == REFUSED || this == TURNED_AWAY;
    }

    /** The word for logs. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
