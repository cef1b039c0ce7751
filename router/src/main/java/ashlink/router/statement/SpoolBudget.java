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
    public enum Verdict {
        /** It is given. */
        GRANTED,
        /** Not now: to be asked again once something was let go. */
        WAIT,
        /** It is more than there will ever be. */
        NEVER
    }

    /**
     * Limits in bytes; {@code reserveBytes} of {@code allBytes} is for statements that hold
     * nothing.
     */
    public record Limits(long statementBytes, long userBytes, long allBytes, long reserveBytes) {}

    private record Holder(String user, long bytes) {}

    private final Limits limits;
    private final Map<String, Holder> statements = new HashMap<>();
    private final Map<String, Long> users = new HashMap<>();
    private long all;

    /** A budget of which nothing is taken. */
    public SpoolBudget(Limits limits) {
        this.limits = limits;
    }

    /** A statement of that user asks for so many bytes more. */
    public Verdict ask(String statement, String user, long bytes) {
        if (bytes > Math.min(limits.statementBytes, Math.min(limits.userBytes, limits.allBytes))) {
            return Verdict.NEVER;
        }
        long held = statements.containsKey(statement) ? statements.get(statement).bytes : 0;
        long ofAll =
                held == 0
                        ? limits.allBytes
                        : Math.max(limits.allBytes - limits.reserveBytes, bytes);
        if (held + bytes > limits.statementBytes
                || users.getOrDefault(user, 0L) + bytes > limits.userBytes
                || all + bytes > ofAll) {
            return Verdict.WAIT;
        }
        statements.put(statement, new Holder(user, held + bytes));
        users.merge(user, bytes, Long::sum);
        all += bytes;
        return Verdict.GRANTED;
    }

    /** A statement lets go of so many bytes, at most of what it holds. */
    public void release(String statement, long bytes) {
        Holder holder = statements.get(statement);
        if (holder == null) {
            return;
        }
        long given = Math.min(bytes, holder.bytes);
        if (given == holder.bytes) {
            statements.remove(statement);
        } else {
            statements.put(statement, new Holder(holder.user, holder.bytes - given));
        }
        users.merge(holder.user, -given, (a, b) -> a + b == 0 ? null : a + b);
        all -= given;
    }

    /** Bytes taken of the router's budget. */
    public long taken() {
        return all;
    }

    /** Bytes that a user's statements hold. */
    public long takenBy(String user) {
        return users.getOrDefault(user, 0L);
    }
}
