package ashlink.report;

import ashlink.capture.CaptureSummary;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import java.io.IOException;
import java.io.Writer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * Renders an HTML page about a capture: requests by class and outcome, attempts by engine and
 * outcome, and plots over time.
 */
public final class CaptureReport {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final String TEMPLATE = "capture.ftlh";

    private CaptureReport() {}

    /** Renders the summary as a page with the given title. */
    public static void write(CaptureSummary summary, String title, Writer out) throws IOException {
        Configuration config = new Configuration(Configuration.VERSION_2_3_34);
        config.setClassForTemplateLoading(CaptureReport.class, "/ashlink/report");
        config.setDefaultEncoding("UTF-8");
        config.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
        Map<String, Object> model =
                Map.of(
                        "title",
                        title,
                        "summary",
                        summary,
                        "outcomes",
                        outcomes(summary),
                        "plots",
                        List.of(
                                toBase64Png(requestChart(summary)),
                                toBase64Png(inFlightChart(summary))));
        try {
            config.getTemplate(TEMPLATE).process(model, out);
        } catch (TemplateException e) {
            throw new IOException(
                    "failed to render report template " + TEMPLATE + ": " + e.getMessage(), e);
        }
    }

    private static TreeSet<String> outcomes(CaptureSummary summary) {
        TreeSet<String> outcomes = new TreeSet<>();
        summary.getEngines().values().forEach(counts -> outcomes.addAll(counts.keySet()));
        return outcomes;
    }

    private static String toBase64Png(XYChart chart) throws IOException {
        return Base64.getEncoder()
                .encodeToString(
                        BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    private static XYChart newChart(String title, String yAxisTitle) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle("seconds")
                        .yAxisTitle(yAxisTitle)
                        .build();
        chart.getStyler()
                .setLegendPosition(LegendPosition.OutsideE)
                .setChartBackgroundColor(java.awt.Color.WHITE);
        return chart;
    }

    private static void addSeries(
            XYChart chart,
            String name,
            CaptureSummary summary,
            ToDoubleFunction<CaptureSummary.Second> value) {
        List<Integer> seconds = new ArrayList<>(summary.getSeconds().keySet());
        List<Double> values = new ArrayList<>();
        summary.getSeconds().values().forEach(second -> values.add(value.applyAsDouble(second)));
        if (!seconds.isEmpty()) {
            chart.addSeries(name, seconds, values).setMarker(SeriesMarkers.NONE);
        }
    }

    private static XYChart requestChart(CaptureSummary summary) {
        XYChart chart = newChart("Requests", "per second; held: at the end of the second");
        addSeries(chart, "taken", summary, CaptureSummary.Second::getTaken);
        addSeries(chart, "attempts ended", summary, CaptureSummary.Second::getEndedAttempts);
        addSeries(chart, "held", summary, CaptureSummary.Second::getQueued);
        return chart;
    }

    private static XYChart inFlightChart(CaptureSummary summary) {
        XYChart chart = newChart("Attempts in flight by engine", "at the end of the second");
        TreeSet<String> engines = new TreeSet<>(summary.getEngines().keySet());
        engines.forEach(
                engine ->
                        addSeries(
                                chart,
                                engine,
                                summary,
                                second -> second.getInFlight().getOrDefault(engine, 0)));
        return chart;
    }
}
