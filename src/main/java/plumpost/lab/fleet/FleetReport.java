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

/** A run's result as a table for people, and as a page with its plot inside. */
public final class FleetReport {
    private FleetReport() {}

    /** The table. */
    public static String table(FleetRun.Result r) {
        StringBuilder all = new StringBuilder(String.format(
                "%d processes, seed %d, %.0f s: %d changes of owner by faults, "
                        + "%d ownerships seen, %d jobs taken, %d runs, %d given up%n",
                r.processes(), r.seed(), r.tookS(), r.changes().size(), r.fences(), r.taken(), r.runs(), r.givenUp()));
        all.append(String.format(
                "%-10s %7s %8s %8s %8s %8s   ms without an owner%n", "fault", "changes", "p50", "p90", "p99", "most"));
        for (Map.Entry<FleetRun.Kind, Histogram> e : r.gaps().entrySet()) {
            Histogram h = e.getValue();
            all.append(String.format(
                    "%-10s %7d %8d %8d %8d %8d%n",
                    e.getKey(),
                    h.getTotalCount(),
                    h.getValueAtPercentile(50),
                    h.getValueAtPercentile(90),
                    h.getValueAtPercentile(99),
                    h.getMaxValue()));
        }
        r.broken().forEach(b -> all.append("BROKEN ").append(b).append('\n'));
        return all.append(r.broken().isEmpty() ? "no rule broken\n" : "").toString();
    }

    /** The page. */
    public static String html(FleetRun.Result r) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(420)
                .title("Time without an owner, by kind of fault")
                .xAxisTitle("share of changes, %")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setYAxisLogarithmic(true);
        for (Map.Entry<FleetRun.Kind, Histogram> e : r.gaps().entrySet()) {
            List<Double> percent = new ArrayList<>();
            List<Double> ms = new ArrayList<>();
            for (int p = 0; p <= 100; p++) {
                percent.add((double) p);
                ms.add((double) Math.max(1, e.getValue().getValueAtPercentile(p)));
            }
            chart.addSeries(e.getKey().name().toLowerCase(java.util.Locale.ROOT), percent, ms)
                    .setMarker(SeriesMarkers.NONE);
        }
        return "<!doctype html><meta charset=\"utf-8\"><title>plumpost fleet</title><style>body{font:15px sans-serif;"
                + "margin:2em}</style><h1>Changes of owner</h1><pre>"
                + table(r).replace("&", "&amp;").replace("<", "&lt;")
                + "</pre><p><img alt=\"time without an owner\" src=\"data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                + "\">";
    }
}
