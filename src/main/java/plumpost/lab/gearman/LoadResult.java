package plumpost.lab.gearman;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/** The result of a load run. Times count from a job's scheduled start; the histogram holds microseconds. */
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

    /** Returns the number of counted jobs that ended per second. */
    public double ratePerS() {
        return counted / tookMs * 1000;
    }

    /** Returns the server's CPU time per job in microseconds, or NaN if it was not measured. */
    public double cpuMicros() {
        return meter.cpuS() * 1e6 / Math.max(1, counted);
    }

    /** Returns the given percentile of the job times in milliseconds. */
    public double percentileMs(double percent) {
        return times.getValueAtPercentile(percent) / 1000.0;
    }

    /** Returns the result as one JSON object. */
    public String json() throws IOException {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeObjectFieldStart("plan");
            json.writeNumberField("seed", plan.seed());
            json.writeNumberField("clients", plan.clients());
            json.writeNumberField("workers", plan.workers());
            json.writeNumberField("jobs", plan.jobs());
            json.writeNumberField("warmup", plan.warmup());
            json.writeNumberField("ratePerS", plan.ratePerS());
            json.writeNumberField("orders", plan.orders());
            json.writeNumberField("background", plan.background());
            json.writeNumberField("bytes", plan.bytes());
            json.writeStringField(
                    "service", plan.service().kind() + ":" + plan.service().ms());
            json.writeNumberField("faults", plan.faults());
            json.writeEndObject();
            json.writeNumberField("tookMs", tookMs);
            json.writeNumberField("begun", begun);
            json.writeNumberField("ended", ended);
            json.writeNumberField("endedPerS", ratePerS());
            json.writeNumberField("broken", broken);
            writeCounts(json, "endings", endings);
            writeCounts(json, "counts", counts);
            json.writeArrayFieldStart("examples");
            for (String example : examples) {
                json.writeString(example);
            }
            json.writeEndArray();
            json.writeObjectFieldStart("timesMs");
            for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
                json.writeNumberField(
                        "p"
                                + (percentile == Math.rint(percentile)
                                        ? String.valueOf((int) percentile)
                                        : String.valueOf(percentile)),
                        percentileMs(percentile));
            }
            json.writeEndObject();
            if (!Double.isNaN(meter.cpuS())) {
                json.writeObjectFieldStart("server");
                json.writeNumberField("cpuMicrosAJob", cpuMicros());
                json.writeNumberField("residentKb", meter.residentKb());
                json.writeEndObject();
            }
            json.writeArrayFieldStart("seconds");
            for (LoadRun.Second second : seconds) {
                json.writeStartObject();
                json.writeNumberField("atS", second.atS());
                json.writeNumberField("ended", second.ended());
                json.writeNumberField("p50Ms", second.p50Ms());
                json.writeNumberField("p99Ms", second.p99Ms());
                json.writeNumberField("out", second.out());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        }
        return text + "\n";
    }

    private static void writeCounts(JsonGenerator json, String name, Map<String, Integer> counts) throws IOException {
        json.writeObjectFieldStart(name);
        for (Map.Entry<String, Integer> e : counts.entrySet()) {
            json.writeNumberField(e.getKey(), e.getValue());
        }
        json.writeEndObject();
    }
}
