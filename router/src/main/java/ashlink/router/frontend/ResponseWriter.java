package ashlink.router.frontend;

import ashlink.decisions.api.Outcome;
import ashlink.wire.ServerError;
import ashlink.wire.WireException;

/**
 * What clients are told that did not get an engine's answer. Each kind has a code of the public
 * list of its own.
 */
public final class ResponseWriter {

    /** Not run: trying again is harmless (TOO_MANY_SIMULTANEOUS_QUERIES). */
    public static final int REFUSED = 202;

    /** May have run: no promise about the effect (NETWORK_ERROR). */
    public static final int FAILED = 210;

    /** The client called it off (QUERY_WAS_CANCELLED). */
    public static final int CANCELLED = 394;

    /** User or password is wrong (AUTHENTICATION_FAILED). */
    public static final int LOGIN = 516;

    /** Bytes that are not what the protocol says (UNEXPECTED_PACKET_FROM_CLIENT). */
    public static final int PROTOCOL = 101;

    /** A column type whose end cannot be found (UNKNOWN_TYPE). */
    public static final int UNKNOWN_TYPE = 50;

    /** A limit of this router (TOO_MANY_BYTES). */
    public static final int LIMIT = 307;

    private static final long MS = 1_000_000L;

    private ResponseWriter() {}

    static ServerError refused(long retryAfterNs, String why) {
        String when =
                retryAfterNs > 0 ? "; come back in " + (retryAfterNs + MS - 1) / MS + " ms" : "";
        return new ServerError(
                REFUSED,
                "ashlink::Refused",
                "ashlink: refused, not run, trying again is harmless"
                        + when
                        + (why.isEmpty() ? "" : " (" + why + ")"));
    }

    static ServerError failed(String why) {
        return new ServerError(
                FAILED,
                "ashlink::Failed",
                "ashlink: failed, may have run, may have had its effect"
                        + (why.isEmpty() ? "" : " (" + why + ")"));
    }

    static ServerError broken(Outcome how) {
        return new ServerError(
                FAILED,
                "ashlink::Failed",
                "ashlink: the answer broke off after its first part, its rest is lost ("
                        + how
                        + ")");
    }

    static ServerError cancelled() {
        return new ServerError(
                CANCELLED, "ashlink::Cancelled", "ashlink: cancelled by the client, may have run");
    }

    static ServerError login() {
        return new ServerError(LOGIN, "ashlink::Login", "ashlink: user or password is wrong");
    }

    static ServerError wire(WireException failure) {
        int code =
                switch (failure.reason()) {
                    case UNKNOWN_TYPE -> UNKNOWN_TYPE;
                    case TOO_LARGE -> LIMIT;
                    default -> PROTOCOL;
                };
        return new ServerError(code, "ashlink::Protocol", "ashlink: " + failure.getMessage());
    }
}
