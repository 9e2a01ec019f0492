package plumpost.lab.gearman;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Renders a load run's result as one HTML page with embedded plots. */
public final class LoadPage {
    private LoadPage() {}

    /** Returns the page. */
    public static String html(LoadResult result) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder page = new StringBuilder(
                "<!doctype html><meta charset=\"utf-8\"><title>plumpost lab</title>"
                        + "<style>body{font:15px sans-serif;margin:2em}td{padding:0 1em 0 0}</style><h1>Gearman load</h1><table>");
        row(
                page,
                "jobs",
                result.begun() + " begun, " + result.ended() + " ended, " + Math.round(result.ratePerS())
                        + " a second");
        row(
                page,
                "clients, workers",
                result.plan().clients() + ", " + result.plan().workers());
        row(page, "seed", String.valueOf(result.plan().seed()));
        row(page, "rules broken", String.valueOf(result.broken()));
        for (double percentile : new double[] {50, 99, 99.9}) {
            row(page, "p" + percentile, String.format("%.2f ms", result.percentileMs(percentile)));
        }
        if (!Double.isNaN(result.meter().cpuS())) {
            row(
                    page,
                    "server",
                    String.format(
                            "%.1f us CPU a job, %d KiB resident",
                            result.cpuMicros(), result.meter().residentKb()));
        }
        result.endings().forEach((k, v) -> row(page, k, String.valueOf(v)));
        for (Map.Entry<String, Integer> e : result.counts().entrySet()) {
            row(page, e.getKey(), String.valueOf(e.getValue()));
        }
        page.append("</table>");
        List<Double> percent = new ArrayList<>();
        List<Double> ms = new ArrayList<>();
        for (double nines = 0; nines <= 4; nines += 0.05) {
            percent.add(nines);
            ms.add(Math.max(0.001, result.percentileMs(100 - 100 / Math.pow(10, nines))));
        }
        XYChart times = chart("Time from meant start to end", "nines (1 is 90 %, 2 is 99 %)", "ms");
        times.getStyler().setYAxisLogarithmic(true);
        times.addSeries("all jobs", percent, ms).setMarker(SeriesMarkers.NONE);
        page.append(image(times));
        XYChart rate = chart("Jobs ended in each second", "s", "jobs");
        series(rate, "ended", result, LoadRun.Second::ended);
        page.append(image(rate));
        XYChart byTime = chart("Time by second", "s", "ms");
        series(byTime, "p50", result, LoadRun.Second::p50Ms);
        series(byTime, "p99", result, LoadRun.Second::p99Ms);
        page.append(image(byTime));
        return page.toString();
    }

    private static void row(StringBuilder page, String name, String value) {
        page.append("<tr><td>").append(escape(name)).append("<td>").append(escape(value));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;");
    }

    private static XYChart chart(String title, String x, String y) {
        return new XYChartBuilder()
                .width(900)
                .height(340)
                .title(title)
                .xAxisTitle(x)
                .yAxisTitle(y)
                .build();
    }

    private static void series(XYChart chart, String name, LoadResult result, ToDoubleFunction<LoadRun.Second> value) {
        chart.addSeries(
                        name,
                        result.seconds().stream().map(LoadRun.Second::atS).toList(),
                        result.seconds().stream()
                                .map(s -> value.applyAsDouble(s))
                                .toList())
                .setMarker(SeriesMarkers.NONE);
    }

    private static String image(XYChart chart) throws IOException {
        return "<p><img alt=\"" + chart.getTitle() + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                + "\">";
    }
}
