package ashlink.decisions;

import static ashlink.decisions.RouterHarness.MS;
import static ashlink.decisions.TestStates.NOW_NS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.decisions.api.LoadReport;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the conditions under which an engine is overloaded. */
class OverloadDetectorTest {

    private static final LoadReport BUSY = new LoadReport(0, 0.95, 0, 0);
    private static final LoadReport IDLE = new LoadReport(0, 0.1, 0.1, 0.1);

    private final OverloadDetector detector =
            new OverloadDetector(new ResponseTimeModel(), new FleetLoadEstimator());
    private final EngineState engine = TestStates.engine("a");

    private boolean isOverloaded(LoadReport report) {
        engine.recordReport(report, NOW_NS);
        return detector.isOverloaded(engine, NOW_NS);
    }

    @Test
    void engineWithoutIndicationsIsNotOverloaded() {
        assertFalse(detector.isOverloaded(engine, NOW_NS));
        assertFalse(isOverloaded(IDLE));
    }

    @Test
    void busyCoresMemoryOrDisksIndicateOverload() {
        assertTrue(isOverloaded(BUSY));
        assertTrue(isOverloaded(new LoadReport(0, 0, 0.95, 0)));
        assertTrue(isOverloaded(new LoadReport(0, 0, 0, 0.95)));
        assertFalse(isOverloaded(new LoadReport(0, 0.94, 0.94, 0.94)));
    }

    @Test
    void queuedQueryIndicatesOverload() {
        assertTrue(isOverloaded(new LoadReport(1, 0, 0, 0)));
    }

    @Test
    void queriesInFlightUpToTheInitialLimitIndicateOverload() {
        double unknown = Double.NaN;
        assertFalse(isOverloaded(new LoadReport(unknown, unknown, unknown, unknown, 5)));
        assertTrue(isOverloaded(new LoadReport(unknown, unknown, unknown, unknown, 6)));
    }

    @Test
    void oldReportIsIgnored() {
        engine.recordReport(BUSY, NOW_NS);
        assertTrue(detector.isOverloaded(engine, NOW_NS + 2_000 * MS - 1));
        assertFalse(detector.isOverloaded(engine, NOW_NS + 2_000 * MS));
    }

    @Test
    void rejectionIndicatesOverloadForTwoSeconds() {
        engine.lastRejectionNs = NOW_NS;
        assertTrue(detector.isOverloaded(engine, NOW_NS + 2_000 * MS - 1));
        assertFalse(detector.isOverloaded(engine, NOW_NS + 2_000 * MS));
    }

    @Test
    void slowResponsesIndicateOverload() {
        engine.slownessWeight = 10;
        engine.lastSlownessNs = NOW_NS;
        engine.slownessLog = Math.log(2.5) * 11 / 10 - 0.001;
        assertFalse(detector.isOverloaded(engine, NOW_NS));
        engine.slownessLog = Math.log(2.5) * 11 / 10 + 0.001;
        assertTrue(detector.isOverloaded(engine, NOW_NS));
    }

    @Test
    void upToThirtyPercentOverloadedEnginesAreFew() {
        List<EngineState> engines = new ArrayList<>();
        for (int i = 0; i < 10; i++) {
            engines.add(TestStates.engine("e" + i));
            engines.get(i).recordReport(i < 3 ? BUSY : IDLE, NOW_NS);
        }
        detector.update(engines, NOW_NS);
        assertTrue(detector.areFewOverloaded());
        engines.get(3).recordReport(BUSY, NOW_NS);
        detector.update(engines, NOW_NS);
        assertFalse(detector.areFewOverloaded());
    }
}
