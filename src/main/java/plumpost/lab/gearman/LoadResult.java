package plumpost.lab.gearman;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** What came of a load run, as JSON and as a page. Times are in milliseconds from when a job was meant to start. */
public record LoadResult(
        LoadPlan plan,
        double tookMs,
        int begun,
        int ended,
        int counted,
        Map<String, Integer> endings,
        Map<String, Integer> counts,
        List<String> examples,
        int broken,
        Histogram times,
        List<LoadRun.Second> seconds,
        LoadRun.ServerMeter meter) {

    /** Jobs that ended a second. */
    public double ratePerS() {
        return counted / tookMs * 1000;
    }

    /** The server's CPU time for a job in microseconds, or NaN. */
    public double cpuMicros() {
        return meter.cpuS() * 1e6 / Math.max(1, counted);
    }

    /** A time in milliseconds below which so many in 100 jobs ended. */
    public double percentileMs(double percent) {
        return times.getValueAtPercentile(percent) / 1000.0;
    }

    /** The result as one JSON object. */
    public String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator j = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            j.writeStartObject();
            j.writeObjectFieldStart("plan");
            j.writeNumberField("seed", plan.seed());
            j.writeNumberField("clients", plan.clients());
            j.writeNumberField("workers", plan.workers());
            j.writeNumberField("jobs", plan.jobs());
            j.writeNumberField("warmup", plan.warmup());
            j.writeNumberField("ratePerS", plan.ratePerS());
            j.writeNumberField("orders", plan.orders());
            j.writeNumberField("background", plan.background());
            j.writeNumberField("bytes", plan.bytes());
            j.writeStringField(
                    "service", plan.service().kind() + ":" + plan.service().ms());
            j.writeNumberField("faults", plan.faults());
            j.writeEndObject();
            j.writeNumberField("tookMs", tookMs);
            j.writeNumberField("begun", begun);
            j.writeNumberField("ended", ended);
            j.writeNumberField("endedPerS", ratePerS());
            j.writeNumberField("broken", broken);
            map(j, "endings", endings);
            map(j, "counts", counts);
            j.writeArrayFieldStart("examples");
            for (String e : examples) {
                j.writeString(e);
            }
            j.writeEndArray();
            j.writeObjectFieldStart("timesMs");
            for (double p : new double[] {50, 90, 99, 99.9, 100}) {
                j.writeNumberField(
                        "p" + (p == Math.rint(p) ? String.valueOf((int) p) : String.valueOf(p)), percentileMs(p));
            }
            j.writeEndObject();
            if (!Double.isNaN(meter.cpuS())) {
                j.writeObjectFieldStart("server");
                j.writeNumberField("cpuMicrosAJob", cpuMicros());
                j.writeNumberField("residentKb", meter.residentKb());
                j.writeEndObject();
            }
            j.writeArrayFieldStart("seconds");
            for (LoadRun.Second s : seconds) {
                j.writeStartObject();
                j.writeNumberField("atS", s.atS());
                j.writeNumberField("ended", s.ended());
                j.writeNumberField("p50Ms", s.p50Ms());
                j.writeNumberField("p99Ms", s.p99Ms());
                j.writeNumberField("out", s.out());
                j.writeEndObject();
            }
            j.writeEndArray();
            j.writeEndObject();
        }
        return text + "\n";
    }

    private static void map(JsonGenerator j, String name, Map<String, Integer> counts) throws IOException {
        j.writeObjectFieldStart(name);
        for (Map.Entry<String, Integer> e : counts.entrySet()) {
            j.writeNumberField(e.getKey(), e.getValue());
        }
        j.writeEndObject();
    }
}
