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
 * One page of a capture: requests by class and end, attempts by engine and outcome, and plots by
 * second.
 */
public final class CaptureReport {

    private static final int WIDTH = 900;
    private static final int HEIGHT = 300;
    private static final String TEMPLATE = "capture.ftlh";

    private CaptureReport() {}

    /** Writes the page. */
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
                        List.of(plot(load(summary)), plot(out(summary))));
        try {
            config.getTemplate(TEMPLATE).process(model, out);
        } catch (TemplateException e) {
            throw new IOException("the template of the report fails: " + e.getMessage(), e);
        }
    }

    private static TreeSet<String> outcomes(CaptureSummary captureSummary) {
        TreeSet<String> all = new TreeSet<>();
        captureSummary.getEngines().values().forEach(map -> all.addAll(map.keySet()));
        return all;
    }

    private static String plot(XYChart chart) throws IOException {
        return Base64.getEncoder()
                .encodeToString(
                        BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG));
    }

    private static XYChart chart(String title, String text) {
        XYChart xYChart =
                new XYChartBuilder()
                        .width(WIDTH)
                        .height(HEIGHT)
                        .title(title)
                        .xAxisTitle("seconds")
                        .yAxisTitle(text)
                        .build();
        xYChart.getStyler()
                .setLegendPosition(LegendPosition.OutsideE)
                .setChartBackgroundColor(java.awt.Color.WHITE);
        return xYChart;
    }

    private static void series(
            XYChart chart,
            String name,
            CaptureSummary captureSummary,
            ToDoubleFunction<CaptureSummary.Second> value) {
        List<Integer> x = new ArrayList<>(captureSummary.getSeconds().keySet());
        List<Double> y = new ArrayList<>();
        captureSummary.getSeconds().values().forEach(second -> y.add(value.applyAsDouble(second)));
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static XYChart load(CaptureSummary captureSummary) {
        XYChart xYChart = chart("Requests", "a second; held at its end");
        series(xYChart, "taken", captureSummary, CaptureSummary.Second::getTaken);
        series(xYChart, "attempts ended", captureSummary, CaptureSummary.Second::getEnded);
        series(xYChart, "held", captureSummary, CaptureSummary.Second::getHeld);
        return xYChart;
    }

    private static XYChart out(CaptureSummary captureSummary) {
        XYChart xYChart = chart("Out at each engine", "attempts at the end of the second");
        TreeSet<String> engines = new TreeSet<>(captureSummary.getEngines().keySet());
        engines.forEach(
                text ->
                        series(
                                xYChart,
                                text,
                                captureSummary,
                                second -> second.getOut().getOrDefault(text, 0)));
        return xYChart;
    }
}
