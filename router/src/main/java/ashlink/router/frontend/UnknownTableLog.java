package ashlink.router.frontend;

import ashlink.sql.StatementAnalysis;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs statements that were not understood: fingerprint, place and reason, never their text; so
 * many a second at most.
 */
public final class UnknownTableLog {

    private static final Logger LOG = LoggerFactory.getLogger(UnknownTableLog.class);
    private static final int MOST_A_SECOND = 5;
    private static final long S = 1_000_000_000L;

    private final AtomicLong untold = new AtomicLong();
    private long secondFrom = System.nanoTime();
    private int told;

    void tell(StatementAnalysis reading, String user) {
        long missed;
        synchronized (this) {
            long now = System.nanoTime();
            if (now - secondFrom >= S) {
                secondFrom = now;
                told = 0;
            }
            if (++told > MOST_A_SECOND) {
                untold.incrementAndGet();
                return;
            }
            missed = untold.getAndSet(0);
        }
        LOG.atWarn()
                .addKeyValue("fingerprint", reading.fingerprint())
                .addKeyValue("at", reading.at())
                .addKeyValue("user", user)
                .addKeyValue("untold", missed)
                .log("statement not understood: {}", reading.reason());
    }
}
