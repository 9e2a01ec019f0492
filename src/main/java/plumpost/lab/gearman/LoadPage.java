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

/** A load run's result as one HTML page with its plots inside. */
public final class LoadPage {
    private LoadPage() {}

    /** The page. */
    public static String html(LoadResult r) throws IOException {
        System.setProperty("java.awt.headless", "true");
        StringBuilder all = new StringBuilder(
                "<!doctype html><meta charset=\"utf-8\"><title>plumpost lab</title>"
                        + "<style>body{font:15px sans-serif;margin:2em}td{padding:0 1em 0 0}</style><h1>Gearman load</h1><table>");
        row(all, "jobs", r.begun() + " begun, " + r.ended() + " ended, " + Math.round(r.ratePerS()) + " a second");
        row(all, "clients, workers", r.plan().clients() + ", " + r.plan().workers());
        row(all, "seed", String.valueOf(r.plan().seed()));
        row(all, "rules broken", String.valueOf(r.broken()));
        for (double p : new double[] {50, 99, 99.9}) {
            row(all, "p" + p, String.format("%.2f ms", r.percentileMs(p)));
        }
        if (!Double.isNaN(r.meter().cpuS())) {
            row(
                    all,
                    "server",
                    String.format(
                            "%.1f us CPU a job, %d KiB resident",
                            r.cpuMicros(), r.meter().residentKb()));
        }
        r.endings().forEach((k, v) -> row(all, k, String.valueOf(v)));
        for (Map.Entry<String, Integer> e : r.counts().entrySet()) {
            row(all, e.getKey(), String.valueOf(e.getValue()));
        }
        all.append("</table>");
        List<Double> percent = new ArrayList<>();
        List<Double> ms = new ArrayList<>();
        for (double nines = 0; nines <= 4; nines += 0.05) {
            percent.add(nines);
            ms.add(Math.max(0.001, r.percentileMs(100 - 100 / Math.pow(10, nines))));
        }
        XYChart times = chart("Time from meant start to end", "nines (1 is 90 %, 2 is 99 %)", "ms");
        times.getStyler().setYAxisLogarithmic(true);
        times.addSeries("all jobs", percent, ms).setMarker(SeriesMarkers.NONE);
        all.append(image(times));
        XYChart rate = chart("Jobs ended in each second", "s", "jobs");
        series(rate, "ended", r, LoadRun.Second::ended);
        all.append(image(rate));
        XYChart byTime = chart("Time by second", "s", "ms");
        series(byTime, "p50", r, LoadRun.Second::p50Ms);
        series(byTime, "p99", r, LoadRun.Second::p99Ms);
        all.append(image(byTime));
        return all.toString();
    }

    private static void row(StringBuilder all, String name, String value) {
        all.append("<tr><td>").append(escaped(name)).append("<td>").append(escaped(value));
    }

    private static String escaped(String s) {
        return s.replace("&", "&amp;").replace("<", "&lt;");
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

    private static void series(XYChart chart, String name, LoadResult r, ToDoubleFunction<LoadRun.Second> value) {
        chart.addSeries(
                        name,
                        r.seconds().stream().map(LoadRun.Second::atS).toList(),
                        r.seconds().stream().map(s -> value.applyAsDouble(s)).toList())
                .setMarker(SeriesMarkers.NONE);
    }

    private static String image(XYChart chart) throws IOException {
        return "<p><img alt=\"" + chart.getTitle() + "\" src=\"data:image/png;base64,"
                + Base64.getEncoder()
                        .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
                + "\">";
    }
}
