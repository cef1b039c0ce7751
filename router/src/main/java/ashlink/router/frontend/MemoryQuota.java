package ashlink.router.frontend;

import ashlink.wire.Quota;
import java.util.concurrent.atomic.AtomicLong;

/** Memory that all requests of a router share. */
public final class MemoryQuota implements Quota {

    private final long most;
    private final AtomicLong taken = new AtomicLong();

    /** A quota of that many bytes. */
    public MemoryQuota(long most) {
        this.most = most;
    }

    @Override
    public boolean take(long bytes) {
        if (taken.addAndGet(bytes) > most) {
            taken.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    @Override
    public void give(long bytes) {
        taken.addAndGet(-bytes);
    }
}
