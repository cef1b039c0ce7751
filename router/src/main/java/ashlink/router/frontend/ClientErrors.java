package ashlink.router.frontend;

import ashlink.decisions.api.Outcome;
import ashlink.wire.ServerError;
import ashlink.wire.WireException;

/**
 * Creates the errors that the router sends to clients instead of the response of an engine. Each
 * kind of error has its own code from the public list of the native protocol.
 */
public final class ClientErrors {

    /** The statement was rejected and a retry is safe (TOO_MANY_SIMULTANEOUS_QUERIES). */
    public static final int REJECTED = 202;

    /** The statement failed and may have been executed (NETWORK_ERROR). */
    public static final int FAILED = 210;

    /** The client cancelled the statement (QUERY_WAS_CANCELLED). */
    public static final int CANCELLED = 394;

    /** The user name or password is invalid (AUTHENTICATION_FAILED). */
    public static final int LOGIN_FAILED = 516;

    /** The client or engine violated the protocol (UNEXPECTED_PACKET_FROM_CLIENT). */
    public static final int PROTOCOL_VIOLATION = 101;

    /** A column has an unsupported type (UNKNOWN_TYPE). */
    public static final int UNKNOWN_TYPE = 50;

    /** A limit of this router is exceeded (TOO_MANY_BYTES). */
    public static final int LIMIT_EXCEEDED = 307;

    private static final long NS_PER_MS = 1_000_000L;

    private ClientErrors() {}

    static ServerError rejected(long retryAfterNs, String reason) {
        String retryHint =
                retryAfterNs > 0
                        ? "; retry after " + (retryAfterNs + NS_PER_MS - 1) / NS_PER_MS + " ms"
                        : "";
        return new ServerError(
                REJECTED,
                "ashlink::Refused",
                "ashlink: refused, not executed; a retry is safe"
                        + retryHint
                        + (reason.isEmpty() ? "" : " (" + reason + ")"));
    }

    static ServerError failed(String reason) {
        return new ServerError(
                FAILED,
                "ashlink::Failed",
                "ashlink: failed; the statement may have been executed and taken effect"
                        + (reason.isEmpty() ? "" : " (" + reason + ")"));
    }

    static ServerError interrupted(Outcome outcome) {
        return new ServerError(
                FAILED,
                "ashlink::Failed",
                "ashlink: response interrupted after its first part; the rest is missing ("
                        + outcome
                        + ")");
    }

    static ServerError cancelled() {
        return new ServerError(
                CANCELLED,
                "ashlink::Cancelled",
                "ashlink: cancelled by the client; the statement may have been executed");
    }

    static ServerError loginFailed() {
        return new ServerError(
                LOGIN_FAILED, "ashlink::Login", "ashlink: invalid user name or password");
    }

    static ServerError protocolViolation(WireException failure) {
        int code =
                switch (failure.reason()) {
                    case UNKNOWN_TYPE -> UNKNOWN_TYPE;
                    case TOO_LARGE -> LIMIT_EXCEEDED;
                    default -> PROTOCOL_VIOLATION;
                };
        return new ServerError(code, "ashlink::Protocol", "ashlink: " + failure.getMessage());
    }
}
