package ashlink.router.frontend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.router.core.Attempt;
import ashlink.router.core.TestAttempts;
import ashlink.wire.Quota;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that an insert returns what it reserved of the quota that all inserts share. */
@Timeout(10)
class InsertFeedTest {

    private static final int PACKET_BYTES = 40;
    private static final int MAX_REPLAY_BYTES = 100;

    private final Attempt attempt = TestAttempts.open();
    private final CountingQuota quota = new CountingQuota(1_000);
    private final InsertFeed feed = new InsertFeed(MAX_REPLAY_BYTES, quota);

    private static final class CountingQuota implements Quota {
        private final long maxBytes;
        private long usedBytes;

        CountingQuota(long maxBytes) {
            this.maxBytes = maxBytes;
        }

        @Override
        public boolean reserve(long bytes) {
            boolean fits = usedBytes + bytes <= maxBytes;
            usedBytes += fits ? bytes : 0;
            return fits;
        }

        @Override
        public void release(long bytes) {
            usedBytes -= bytes;
        }
    }

    /**
     * Guards against a quota that runs out for all inserts: each insert too large to be replayed
     * kept the bytes that it had sent before.
     */
    @Test
    void anInsertTooLargeForReplayReleasesTheSentPacketsToo() throws InterruptedException {
        feed.put(new byte[PACKET_BYTES], false);
        feed.put(new byte[PACKET_BYTES], false);
        feed.next(attempt);
        assertEquals(2 * PACKET_BYTES, quota.usedBytes);
        feed.put(new byte[PACKET_BYTES], true);
        assertFalse(feed.rewind());
        assertEquals(0, quota.usedBytes);
        feed.next(attempt);
        feed.next(attempt);
        assertTrue(feed.isAtEnd());
        feed.close();
        assertEquals(0, quota.usedBytes);
    }

    @Test
    void anInsertWithoutRoomInTheQuotaReleasesWhatItReserved() throws InterruptedException {
        CountingQuota small = new CountingQuota(PACKET_BYTES + 1);
        InsertFeed shortOfMemory = new InsertFeed(MAX_REPLAY_BYTES, small);
        shortOfMemory.put(new byte[PACKET_BYTES], false);
        shortOfMemory.next(attempt);
        shortOfMemory.put(new byte[PACKET_BYTES], true);
        assertEquals(0, small.usedBytes);
        assertFalse(shortOfMemory.rewind());
    }

    @Test
    void aReplayableInsertKeepsItsPacketsUntilItIsClosed() throws InterruptedException {
        byte[] first = {1, 2, 3};
        feed.put(first, false);
        feed.put(new byte[PACKET_BYTES], true);
        assertArrayEquals(first, feed.next(attempt));
        assertTrue(feed.rewind());
        assertArrayEquals(first, feed.next(attempt));
        assertEquals(first.length + PACKET_BYTES, quota.usedBytes);
        feed.close();
        assertEquals(0, quota.usedBytes);
    }
}
