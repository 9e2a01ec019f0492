package plumpost.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Formats the result of a {@link FleetRun} as a text table and as an HTML page with a plot. */
public final class FleetReport {
    private FleetReport() {}

    /** Formats the result as a text table. */
    public static String table(FleetRun.Result result) {
        StringBuilder text = new StringBuilder(String.format(
                "%d processes, seed %d, %.0f s: %d changes of owner by faults, "
                        + "%d ownerships seen, %d jobs taken, %d runs, %d given up%n",
                result.processes(),
                result.seed(),
                result.durationS(),
                result.changes().size(),
                result.fences(),
                result.accepted(),
                result.runs(),
                result.givenUp()));
        text.append(String.format(
                "%-10s %7s %8s %8s %8s %8s   ms without an owner%n", "fault", "changes", "p50", "p90", "p99", "most"));
        for (Map.Entry<FleetRun.Kind, Histogram> entry : result.gaps().entrySet()) {
            Histogram histogram = entry.getValue();
            text.append(String.format(
                    "%-10s %7d %8d %8d %8d %8d%n",
                    entry.getKey(),
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(50),
                    histogram.getValueAtPercentile(90),
                    histogram.getValueAtPercentile(99),
                    histogram.getMaxValue()));
        }
        result.violations().forEach(b -> text.append("BROKEN ").append(b).append('\n'));
        return text.append(result.violations().isEmpty() ? "no rule broken\n" : "")
                .toString();
    }

    /** Formats the result as an HTML page with the table and an embedded plot. */
    public static String html(FleetRun.Result result) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(420)
                .title("Time without an owner, by kind of fault")
                .xAxisTitle("share of changes, %")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        for (Map.Entry<FleetRun.Kind, Histogram> entry : result.gaps().entrySet()) {
            List<Double> percent = new ArrayList<>();
            List<Double> ms = new ArrayList<>();
            for (int p = 0; p <= 100; p++) {
                percent.add((double) p);
                ms.add((double) Math.max(1, entry.getValue().getValueAtPercentile(p)));
            }
            chart.addSeries(entry.getKey().name().toLowerCase(java.util.Locale.ROOT), percent, ms)
                    .setMarker(SeriesMarkers.NONE);
        }
        return "<!doctype html><meta charset=\"utf-8\"><title>plumpost fleet</title><style>body{font:15px sans-serif;"
                + "margin:2em}</style><h1>Changes of owner</h1><pre>"
                + table(result).replace("&", "&amp;").replace("<", "&lt;")
                + "</pre><p><img alt=\"time without an owner\" src=\"data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                + "\">";
    }
}
