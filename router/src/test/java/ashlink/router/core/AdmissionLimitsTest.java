package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests that sources leave places of open requests for others. */
class AdmissionLimitsTest {

    private static final int SOURCES = 100;
    private static final int REQUESTS = 1_000;

    private final AdmissionLimits limits = new AdmissionLimits(10, REQUESTS, SOURCES);
    private final OpenRequestTable requests = new OpenRequestTable(RequestMetrics.NONE);

    private int reserve(RequestSource source, int most) {
        int reserved = 0;
        while (reserved < most && requests.tryReserve(source, limits)) {
            reserved++;
        }
        return reserved;
    }

    @Test
    void oneSourceTakesHalfOfThePlacesAtMost() {
        assertEquals(REQUESTS / 2, reserve(new RequestSource(), REQUESTS));
        assertTrue(requests.tryReserve(new RequestSource(), limits));
    }

    @Test
    void allOtherSourcesTogetherLeaveAShareForTheLast() {
        for (int i = 0; i < SOURCES - 1; i++) {
            reserve(new RequestSource(), 32);
        }
        assertEquals(5, reserve(new RequestSource(), 32));
        assertTrue(requests.unansweredCount() <= REQUESTS);
    }
}
