package ashlink.router.statement;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of results that are kept: for a statement, a user and the router. What does not fit waits,
 * and so does the engine that sends it; the clients that fetch make room. A part of the router's
 * budget is kept for statements that hold nothing, so that results nobody fetches do not stop the
 * first page of others.
 */
public final class SpoolBudget {

    /** What becomes of an asking. */
    public enum Reservation {
        /** It is given. */
        GRANTED,
        /** Not now: to be asked again once something was let go. */
        WAIT,
        /** It is more than there will ever be. */
        TOO_LARGE
    }

    /**
     * Limits in bytes; {@code reserveBytes} of {@code totalBytes} is for statements that hold
     * nothing.
     */
    public record Limits(long statementBytes, long userBytes, long totalBytes, long reserveBytes) {}

    private record StatementUsage(String user, long bytes) {}

    private final Limits limits;
    private final Map<String, StatementUsage> usageByStatement = new HashMap<>();
    private final Map<String, Long> bytesByUser = new HashMap<>();
    private long totalBytes;

    /** A budget of which nothing is taken. */
    public SpoolBudget(Limits limits) {
        this.limits = limits;
    }

    /** A statement of that user asks for so many bytes more. */
    public Reservation reserve(String statement, String user, long bytes) {
        if (bytes
                > Math.min(limits.statementBytes, Math.min(limits.userBytes, limits.totalBytes))) {
            return Reservation.TOO_LARGE;
        }
        long held =
                usageByStatement.containsKey(statement) ? usageByStatement.get(statement).bytes : 0;
        long ofAll =
                held == 0
                        ? limits.totalBytes
                        : Math.max(limits.totalBytes - limits.reserveBytes, bytes);
        if (held + bytes > limits.statementBytes
                || bytesByUser.getOrDefault(user, 0L) + bytes > limits.userBytes
                || totalBytes + bytes > ofAll) {
            return Reservation.WAIT;
        }
        usageByStatement.put(statement, new StatementUsage(user, held + bytes));
        bytesByUser.merge(user, bytes, Long::sum);
        totalBytes += bytes;
        return Reservation.GRANTED;
    }

    /** A statement lets go of so many bytes, at most of what it holds. */
    public void release(String statement, long bytes) {
        StatementUsage holder = usageByStatement.get(statement);
        if (holder == null) {
            return;
        }
        long given = Math.min(bytes, holder.bytes);
        if (given == holder.bytes) {
            usageByStatement.remove(statement);
        } else {
            usageByStatement.put(statement, new StatementUsage(holder.user, holder.bytes - given));
        }
        bytesByUser.merge(holder.user, -given, (a, b) -> a + b == 0 ? null : a + b);
        totalBytes -= given;
    }

    /** Bytes taken of the router's budget. */
    public long usedBytes() {
        return totalBytes;
    }

    /** Bytes that a user's statements hold. */
    public long usedBytesOf(String user) {
        return bytesByUser.getOrDefault(user, 0L);
    }
}
