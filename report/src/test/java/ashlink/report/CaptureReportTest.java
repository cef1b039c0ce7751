package ashlink.report;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ashlink.capture.CaptureSummary;
import ashlink.capture.events.Entry;
import ashlink.decisions.api.Action.Reject;
import ashlink.decisions.api.Action.StartAttempt;
import ashlink.decisions.api.Event.AttemptEnded;
import ashlink.decisions.api.Event.QuerySubmitted;
import ashlink.decisions.api.LoadReport;
import ashlink.decisions.api.Outcome;
import java.io.StringWriter;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the HTML page about a capture. */
class CaptureReportTest {

    private static final long NS_PER_SECOND = 1_000_000_000L;

    @Test
    void pageShowsCountsByClassAndEngineAndEscapesNames() throws Exception {
        System.setProperty("java.awt.headless", "true");
        CaptureSummary summary = new CaptureSummary();
        summary.accept(
                new Entry.Step(
                        new QuerySubmitted(1, "a<b", null, 0, 9 * NS_PER_SECOND, 0, 0),
                        NS_PER_SECOND,
                        List.of(new StartAttempt(1, "q1", NS_PER_SECOND))));
        summary.accept(
                new Entry.Step(
                        new QuerySubmitted(2, "a<b", null, 0, 9 * NS_PER_SECOND, 0, 0),
                        2 * NS_PER_SECOND,
                        List.of(new Reject(2, 0))));
        summary.accept(
                new Entry.Step(
                        new AttemptEnded(
                                1,
                                0,
                                "q1",
                                Outcome.SERVED,
                                NS_PER_SECOND,
                                true,
                                0,
                                0,
                                LoadReport.NONE),
                        3 * NS_PER_SECOND,
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
