package plumpost.lab.gearman;

import java.util.SplittableRandom;
import plumpost.config.Json.BadInput;

/** Distribution of emulated service times: {@code none}, {@code const:MS}, {@code exp:MEAN}, {@code lognormal:MEDIAN,SIGMA}. */
public record ServiceTime(String kind, double ms, double sigma) {
    /** Parses the value of an option; throws {@link BadInput} if it is malformed or out of range. */
    public static ServiceTime parse(String text) {
        String[] parts = text.split("[:,]");
        try {
            double ms = parts.length > 1 ? Double.parseDouble(parts[1]) : 0;
            double sigma = parts.length > 2 ? Double.parseDouble(parts[2]) : 0;
            int expectedParts =
                    switch (parts[0]) {
                        case "none" -> 1;
                        case "const", "exp" -> 2;
                        case "lognormal" -> 3;
                        default -> -1;
                    };
            if (parts.length == expectedParts && ms >= 0 && ms <= 600_000 && sigma >= 0 && sigma <= 5) {
                return new ServiceTime(parts[0], ms, sigma);
            }
        } catch (NumberFormatException e) {
            // reported below with the given text
        }
        throw new BadInput("--service is " + text + ", not none, const:MS, exp:MEAN or lognormal:MEDIAN,SIGMA");
    }

    /** Draws a time in milliseconds, at most ten minutes. */
    public double draw(SplittableRandom random) {
        return Math.min(
                600_000,
                switch (kind) {
                    case "const" -> ms;
                    case "exp" -> -ms * Math.log(1 - random.nextDouble());
                    case "lognormal" -> ms * Math.exp(sigma * drawGaussian(random));
                    default -> 0;
                });
    }

    private static double drawGaussian(SplittableRandom random) {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }
}
