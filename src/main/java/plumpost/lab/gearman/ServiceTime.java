package plumpost.lab.gearman;

import java.util.SplittableRandom;
import plumpost.config.Json.BadInput;

/** How long emulated work takes: {@code none}, {@code const:MS}, {@code exp:MEAN}, {@code lognormal:MEDIAN,SIGMA}. */
public record ServiceTime(String kind, double ms, double sigma) {
    /** Reads the words of an option. */
    public static ServiceTime parse(String words) {
        String[] w = words.split("[:,]");
        try {
            double ms = w.length > 1 ? Double.parseDouble(w[1]) : 0;
            double sigma = w.length > 2 ? Double.parseDouble(w[2]) : 0;
            int wanted =
                    switch (w[0]) {
                        case "none" -> 1;
                        case "const", "exp" -> 2;
                        case "lognormal" -> 3;
                        default -> -1;
                    };
            if (w.length == wanted && ms >= 0 && ms <= 600_000 && sigma >= 0 && sigma <= 5) {
                return new ServiceTime(w[0], ms, sigma);
            }
        } catch (NumberFormatException e) {
            // told below, with what was given
        }
        throw new BadInput("--service is " + words + ", not none, const:MS, exp:MEAN or lognormal:MEDIAN,SIGMA");
    }

    /** Draws a time in milliseconds; at most ten minutes. */
    public double draw(SplittableRandom random) {
        return Math.min(
                600_000,
                switch (kind) {
                    case "const" -> ms;
                    case "exp" -> -ms * Math.log(1 - random.nextDouble());
                    case "lognormal" -> ms * Math.exp(sigma * gauss(random));
                    default -> 0;
                });
    }

    private static double gauss(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
