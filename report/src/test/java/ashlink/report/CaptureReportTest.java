package ashlink.report;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.Gateway.Ended;
import ashlink.Gateway.Outcome;
import ashlink.Gateway.Refuse;
import ashlink.Gateway.Report;
import ashlink.Gateway.Request;
import ashlink.Gateway.Send;
import ashlink.capture.CaptureSummary;
import ashlink.capture.events.Entry;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;

class CaptureReportTest {

    private static final long S = 1_000_000_000L;

    @Test
    void thePageHasCountsByClassAndEngineAndEscapesNames() throws Exception {
        System.setProperty("java.awt.headless", "true");
        CaptureSummary summary = new CaptureSummary();
        summary.accept(
                new Entry.Step(
                        new Request(1, "a<b", null, 0, 9 * S, 0, 0),
                        S,
                        List.of(new Send(1, "q1", S))));
        summary.accept(
                new Entry.Step(
                        new Request(2, "a<b", null, 0, 9 * S, 0, 0),
                        2 * S,
                        List.of(new Refuse(2, 0))));
        summary.accept(
                new Entry.Step(
                        new Ended(1, 0, "q1", Outcome.SERVED, S, true, 0, 0, Report.NONE),
                        3 * S,
                        List.of()));
        StringWriter page = new StringWriter();
        CaptureReport.write(summary, "t", page);
        assertTrue(
                page.toString().contains("<td>a&lt;b</td><td>2</td><td>1</td><td>1</td><td>0</td>"),
                page.toString());
        assertTrue(page.toString().contains("<tr><td>q1</td><td>1</td></tr>"));
        assertTrue(page.toString().split("data:image/png").length == 3);
    }
}
