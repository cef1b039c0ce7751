package ashlink.router.frontend;

import ashlink.wire.Quota;
import java.util.concurrent.atomic.AtomicLong;

/** Memory budget shared by all requests of a router. Thread-safe. */
public final class MemoryQuota implements Quota {

    private final long maxBytes;
    private final AtomicLong usedBytes = new AtomicLong();

    /** Creates an unused budget. */
    public MemoryQuota(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    @Override
    public boolean reserve(long bytes) {
        if (usedBytes.addAndGet(bytes) > maxBytes) {
            usedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    @Override
    public void release(long bytes) {
        usedBytes.addAndGet(-bytes);
    }
}
