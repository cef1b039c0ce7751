package ashlink.router.statement;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the stored result bytes per statement, per user and for the whole router. A page that does
 * not fit has to wait, and the engine that sends the page waits too, until clients have fetched
 * other pages. A part of the router's budget is reserved for statements without stored pages, so
 * that results that no client fetches do not block the first pages of other statements. Not safe
 * for use by several threads.
 */
public final class SpoolBudget {

    /** The result of a reservation. */
    public enum Reservation {
        /** The bytes are reserved. */
        GRANTED,
        /** The bytes do not fit now; the caller tries again after a release. */
        WAIT,
        /** The bytes alone exceed a limit and will never fit. */
        TOO_LARGE
    }

    /**
     * The limits of a budget, in bytes.
     *
     * @param statementBytes limit of one statement
     * @param userBytes limit of all statements of one user
     * @param totalBytes limit of all statements
     * @param reserveBytes part of {@code totalBytes} for statements without stored pages
     */
    public record Limits(long statementBytes, long userBytes, long totalBytes, long reserveBytes) {

        private long maxReservationBytes() {
            return Math.min(statementBytes, Math.min(userBytes, totalBytes));
        }
    }

    private record StatementUsage(String user, long bytes) {}

    private final Limits limits;
    private final Map<String, StatementUsage> usageByStatement = new HashMap<>();
    private final Map<String, Long> bytesByUser = new HashMap<>();
    private long totalBytes;

    /** Creates a budget with no bytes reserved. */
    public SpoolBudget(Limits limits) {
        this.limits = limits;
    }

    /** Reserves bytes for a statement of a user, in addition to its earlier reservations. */
    public Reservation reserve(String statement, String user, long bytes) {
        if (bytes > limits.maxReservationBytes()) {
            return Reservation.TOO_LARGE;
        }
        StatementUsage usage = usageByStatement.get(statement);
        long usedBytes = usage == null ? 0 : usage.bytes;
        long totalLimit =
                usedBytes == 0
                        ? limits.totalBytes
                        : Math.max(limits.totalBytes - limits.reserveBytes, bytes);
        if (usedBytes + bytes > limits.statementBytes
                || usedBytesOf(user) + bytes > limits.userBytes
                || totalBytes + bytes > totalLimit) {
            return Reservation.WAIT;
        }
        usageByStatement.put(statement, new StatementUsage(user, usedBytes + bytes));
        bytesByUser.merge(user, bytes, Long::sum);
        totalBytes += bytes;
        return Reservation.GRANTED;
    }

    /** Releases reserved bytes of a statement; more than are reserved are ignored. */
    public void release(String statement, long bytes) {
        StatementUsage usage = usageByStatement.get(statement);
        if (usage == null) {
            return;
        }
        long released = Math.min(bytes, usage.bytes);
        if (released == usage.bytes) {
            usageByStatement.remove(statement);
        } else {
            usageByStatement.put(statement, new StatementUsage(usage.user, usage.bytes - released));
        }
        bytesByUser.merge(usage.user, -released, SpoolBudget::sumOrNull);
        totalBytes -= released;
    }

    /** Returns the sum; null instead of 0, which removes the user from the map. */
    private static Long sumOrNull(Long first, Long second) {
        long sum = first + second;
        return sum == 0 ? null : sum;
    }

    /** Returns the bytes reserved by all statements. */
    public long usedBytes() {
        return totalBytes;
    }

    /** Returns the bytes reserved by the statements of a user. */
    public long usedBytesOf(String user) {
        return bytesByUser.getOrDefault(user, 0L);
    }
}
