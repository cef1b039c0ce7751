package ashlink.router.frontend;

import ashlink.sql.StatementAnalysis;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs statements whose syntax the SQL parser does not support. A log line contains the
 * fingerprint, the position and the reason, but never the statement text. The rate of log lines is
 * limited. Thread-safe.
 */
public final class UnsupportedStatementLog {

    private static final Logger LOG = LoggerFactory.getLogger(UnsupportedStatementLog.class);
    private static final int MAX_PER_SECOND = 5;
    private static final long NS_PER_S = 1_000_000_000L;

    /** Number of statements that were not logged since the last log line. */
    private final AtomicLong suppressed = new AtomicLong();

    // Fields guarded by this.
    private long secondStartNs = System.nanoTime();
    private int loggedInSecond;

    void log(StatementAnalysis analysis, String user) {
        long suppressedBefore;
        synchronized (this) {
            if (!tryAcquire()) {
                suppressed.incrementAndGet();
                return;
            }
            suppressedBefore = suppressed.getAndSet(0);
        }
        LOG.atWarn()
                .addKeyValue("fingerprint", analysis.fingerprint())
                .addKeyValue("offset", analysis.offset())
                .addKeyValue("reason", analysis.reason())
                .addKeyValue("user", user)
                .addKeyValue("suppressed", suppressedBefore)
                .log("unsupported statement syntax");
    }

    private boolean tryAcquire() {
        long nowNs = System.nanoTime();
        if (nowNs - secondStartNs >= NS_PER_S) {
            secondStartNs = nowNs;
            loggedInSecond = 0;
        }
        loggedInSecond++;
        return loggedInSecond <= MAX_PER_SECOND;
    }
}
