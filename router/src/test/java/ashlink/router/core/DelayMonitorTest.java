package ashlink.router.core;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests what is logged of delays. */
class DelayMonitorTest {

    private final AtomicLong clockNs = new AtomicLong();
    private final DelayMonitor monitor = new DelayMonitor(clockNs::get);

    @Test
    void maximaAreKeptPerStageUntilTheyAreTaken() {
        DelayMonitor.Stage input = monitor.stage("input");
        DelayMonitor.Stage output = monitor.stage("output");
        input.record(7_000_000);
        input.record(3_000_000);
        long startNs = output.nowNs();
        clockNs.addAndGet(20_000_000);
        output.recordSince(startNs);
        assertEquals("input=7 output=20", monitor.takeMaxima());
        assertEquals("input=0 output=0", monitor.takeMaxima());
    }

    @Test
    void longDelaysAreLoggedOncePerSecond() {
        DelayMonitor.Stage input = monitor.stage("input");
        input.record(DelayMonitor.LOGGED_DELAY_NS);
        assertEquals("input=0", monitor.takeMaxima(), "the log line took the maximum");
        input.record(DelayMonitor.LOGGED_DELAY_NS);
        assertEquals("input=100", monitor.takeMaxima(), "no second line at the same time");
        clockNs.addAndGet(1_000_000_000);
        input.record(DelayMonitor.LOGGED_DELAY_NS);
        assertEquals("input=0", monitor.takeMaxima());
    }
}
