package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.EngineKind;
import ashlink.decisions.api.Settings;
import ashlink.decisions.api.Tenant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the weight of queries within and beyond the quota of a tenant. */
class TenantQuotaTest {

    private static final double OVER_QUOTA_WEIGHT = 0.2;

    /**
     * Returns a quota of two queries per second, which is ten queries per decay time of five
     * seconds.
     */
    private static TenantQuota quota(int routers) {
        return new TenantQuota(
                new Settings(
                        7,
                        routers,
                        0,
                        "z1",
                        List.of(RouterHarness.shortClass("lookup")),
                        List.of(new EngineKind("big", 4, 8_000)),
                        RouterHarness.CAPABILITIES,
                        RouterHarness.LIMITS,
                        List.of(new Tenant("limited", 2), new Tenant("unlimited", 0)),
                        OVER_QUOTA_WEIGHT));
    }

    private static double weightAfter(TenantQuota quota, int queries, double trafficFraction) {
        double weight = 0;
        for (int i = 0; i < queries; i++) {
            weight = quota.weightFraction("limited", trafficFraction, NOW_NS);
        }
        return weight;
    }

    @Test
    void queryWithinTheQuotaHasTheFullWeight() {
        assertEquals(1, weightAfter(quota(1), 10, 1));
    }

    @Test
    void queryBeyondTheQuotaLosesWeightInProportion() {
        double withinFraction = 10 / 20.0;
        double expected = withinFraction + (1 - withinFraction) * OVER_QUOTA_WEIGHT;
        assertEquals(expected, weightAfter(quota(1), 20, 1), 1e-12);
    }

    @Test
    void weightStaysAboveTheOverQuotaWeight() {
        double weight = weightAfter(quota(1), 100_000, 1);
        assertTrue(weight > OVER_QUOTA_WEIGHT && weight < OVER_QUOTA_WEIGHT + 0.001);
    }

    @Test
    void tenantWithoutQuotaHasTheFullWeight() {
        TenantQuota quota = quota(1);
        for (int i = 0; i < 100; i++) {
            assertEquals(1, quota.weightFraction("unlimited", 1, NOW_NS));
            assertEquals(1, quota.weightFraction("unlisted", 1, NOW_NS));
        }
    }

    @Test
    void queryCountDecays() {
        TenantQuota quota = quota(1);
        assertTrue(weightAfter(quota, 100, 1) < 1);
        assertEquals(1, quota.weightFraction("limited", 1, NOW_NS + 60_000 * MS));
    }

    @Test
    void routerEnforcesItsPartOfTheQuota() {
        assertTrue(weightAfter(quota(10), 6, 0.1) < 1);
        assertEquals(1, weightAfter(quota(10), 5, 0.9));
    }
}
