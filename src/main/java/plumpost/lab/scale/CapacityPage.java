package plumpost.lab.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import plumpost.config.Json.BadInput;

/** Generates the tables of docs/CAPACITY.md and its plot from the valid measurements of a scale run. */
final class CapacityPage {
    /** Limits from the users' requirements on what a scheduler may spend for control. */
    private static final double CPU_LIMIT_PERCENT = 4;

    private static final double MEMORY_LIMIT_MB = 128;
    private static final double BYTES_LIMIT_KB_S = 3;
    /** Number of workers in the planned fleet. */
    private static final double WORKERS_AHEAD = 17_000;

    private static final String BEGIN = "<!-- begin %s -->\n";
    private static final String END = "<!-- end %s -->";
    private static final List<String> SHOWN = List.of(
            "us_per_job",
            "us_per_changed_line",
            "cpu_percent",
            "resident_mb",
            "descriptors",
            "read_kb_s",
            "written_kb_s");

    private final List<Measurement> measurements;

    CapacityPage(List<Measurement> all) {
        measurements = all.stream().filter(Measurement::valid).toList();
    }

    /** Returns the page with its tables regenerated and all other text unchanged. */
    String write(String page) {
        String written = replaceTable(page, "measured", measuredTable());
        written = replaceTable(written, "slopes", slopesTable());
        return replaceTable(written, "limits", limitsTable());
    }

    private static String replaceTable(String page, String name, String table) {
        String begin = String.format(BEGIN, name);
        String end = String.format(END, name);
        int from = page.indexOf(begin);
        int to = page.indexOf(end);
        if (from < 0 || to < from) {
            throw new BadInput("the page has no place for the table " + name);
        }
        return page.substring(0, from + begin.length()) + table + page.substring(to);
    }

    private record Key(String role, String axis) {}

    /** Returns the values of one figure by size, for one role and axis. */
    private Map<Double, List<Double>> values(Key key, String figure) {
        Map<Double, List<Double>> bySize = new TreeMap<>();
        for (Measurement each : measurements) {
            if (each.role().equals(key.role) && each.axis().equals(key.axis)) {
                Double value = each.figures().get(figure);
                if (value != null) {
                    bySize.computeIfAbsent(each.size(), size -> new ArrayList<>())
                            .add(value);
                }
            }
        }
        return bySize;
    }

    private List<Key> keys() {
        return measurements.stream()
                .map(each -> new Key(each.role(), each.axis()))
                .distinct()
                .toList();
    }

    private String measuredTable() {
        StringBuilder table = new StringBuilder("| role | size | figure: median (least to most of the plays) |\n");
        table.append("| --- | --- | --- |\n");
        for (Key key : keys()) {
            Map<Double, List<String>> rows = new TreeMap<>();
            for (String figure : SHOWN) {
                values(key, figure)
                        .forEach((size, values) -> rows.computeIfAbsent(size, s -> new ArrayList<>())
                                .add(figure + " " + spread(values)));
            }
            rows.forEach((size, cells) -> table.append(String.format(
                    Locale.ROOT, "| %s | %,.0f %s | %s |%n", key.role, size, key.axis, String.join("; ", cells))));
        }
        return table.toString();
    }

    private static String spread(List<Double> values) {
        List<Double> sorted = values.stream().sorted().toList();
        return number(sorted.get(sorted.size() / 2)) + " (" + number(sorted.get(0)) + " to "
                + number(sorted.get(sorted.size() - 1)) + ")";
    }

    private static String number(double value) {
        double size = Math.abs(value);
        return String.format(Locale.ROOT, size >= 100 ? "%,.0f" : size >= 1 ? "%.1f" : "%.3f", value);
    }

    private Slope slope(Key key, String figure) {
        List<Slope.Point> points = new ArrayList<>();
        values(key, figure).forEach((size, values) -> values.forEach(v -> points.add(new Slope.Point(size, v))));
        return points.isEmpty() ? null : Slope.best(points);
    }

    private String slopesTable() {
        StringBuilder table =
                new StringBuilder("| role | figure | by | fixed | for each 1,000 | form | residual | sizes |\n");
        table.append("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        for (Key key : keys()) {
            for (String figure : SHOWN) {
                Slope slope = slope(key, figure);
                int sizes = values(key, figure).size();
                if (slope != null && sizes > 2) {
                    table.append(String.format(
                            Locale.ROOT,
                            "| %s | %s | %s | %s | %s | %s | %s | %d |%n",
                            key.role,
                            figure,
                            key.axis,
                            number(slope.fixed()),
                            number(slope.slope() * 1000),
                            slope.form().label,
                            number(slope.residual()),
                            sizes));
                }
            }
        }
        return table.toString();
    }

    private String limitsTable() {
        Map<String, Double> limits = new LinkedHashMap<>();
        limits.put("cpu_percent", CPU_LIMIT_PERCENT);
        limits.put("resident_mb", MEMORY_LIMIT_MB);
        limits.put("read_kb_s", BYTES_LIMIT_KB_S);
        limits.put("written_kb_s", BYTES_LIMIT_KB_S);
        Key key = new Key(ScaleRun.SCHEDULER, "workers");
        StringBuilder table =
                new StringBuilder("| figure | limit | measured at 17,000 workers | ratio | by the slope |\n");
        table.append("| --- | --- | --- | --- | --- |\n");
        limits.forEach((figure, limit) -> {
            List<Double> measured = values(key, figure).get(WORKERS_AHEAD);
            Slope slope = slope(key, figure);
            if (slope != null) {
                String shown = measured == null ? "not measured" : spread(measured);
                double value = measured == null
                        ? slope.costAt(WORKERS_AHEAD)
                        : measured.stream().sorted().toList().get(measured.size() / 2);
                table.append(String.format(
                        Locale.ROOT,
                        "| %s | %s | %s | %.2f | %s |%n",
                        figure,
                        number(limit),
                        shown,
                        value / limit,
                        number(slope.costAt(WORKERS_AHEAD))));
            }
        });
        return table.toString();
    }

    /** Writes a PNG plot of the cost of a job by the number of workers, for the module and for the process. */
    void plot(Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(420)
                .title("Cost of a job at 24 jobs a second")
                .xAxisTitle("workers")
                .yAxisTitle("microseconds of processor time")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (String role : List.of(ScaleRun.MODULE, ScaleRun.MODULE_WITHOUT_REPORTS, ScaleRun.SCHEDULER)) {
            Map<Double, List<Double>> bySize = values(new Key(role, "workers"), "us_per_job");
            if (!bySize.isEmpty()) {
                List<Double> medians = bySize.values().stream()
                        .map(v -> v.stream().sorted().toList().get(v.size() / 2))
                        .toList();
                chart.addSeries(role, new ArrayList<>(bySize.keySet()), medians);
            }
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
