package plumpost.lab.scale;

import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * A cost as a fixed part and a part that grows with a size, by least squares.
 *
 * @param form how the second part grows
 * @param fixed the cost at size 0
 * @param slope the cost of each unit of the form
 * @param residual root of the mean square of what the fit leaves, in the cost's own unit
 */
record Slope(Form form, double fixed, double slope, double residual) {
    /** How a cost may grow with a size. */
    enum Form {
        LINEAR("n", size -> size),
        N_LOG_N("n log n", size -> size * Math.log(Math.max(1, size)) / Math.log(2)),
        QUADRATIC("n^2", size -> size * size);

        final String label;
        final DoubleUnaryOperator of;

        Form(String label, DoubleUnaryOperator of) {
            this.label = label;
            this.of = of;
        }
    }

    /** A measured point. */
    record Point(double size, double cost) {}

    /** The form that leaves least, where that is clearly less than a line does; else a line. */
    static Slope best(List<Point> points) {
        Slope line = fit(points, Form.LINEAR);
        Slope best = line;
        for (Form form : Form.values()) {
            Slope other = fit(points, form);
            if (other.slope > 0 && other.residual < best.residual) {
                best = other;
            }
        }
        return best.residual < CLEARLY_LESS * line.residual ? best : line;
    }

    /** Another form than a line is only believed where it leaves less than this part of what a line leaves. */
    private static final double CLEARLY_LESS = 0.7;

    /** The fit of one form. */
    static Slope fit(List<Point> points, Form form) {
        double n = points.size();
        double meanX = 0;
        double meanY = 0;
        for (Point point : points) {
            meanX += form.of.applyAsDouble(point.size()) / n;
            meanY += point.cost() / n;
        }
        double xx = 0;
        double xy = 0;
        for (Point point : points) {
            double x = form.of.applyAsDouble(point.size()) - meanX;
            xx += x * x;
            xy += x * (point.cost() - meanY);
        }
        double slope = xx == 0 ? 0 : xy / xx;
        double fixed = meanY - slope * meanX;
        double squares = 0;
        for (Point point : points) {
            double left = point.cost() - fixed - slope * form.of.applyAsDouble(point.size());
            squares += left * left;
        }
        return new Slope(form, fixed, slope, Math.sqrt(squares / Math.max(1, n)));
    }

    /** The cost that the fit gives for a size. */
    double at(double size) {
        return fixed + slope * form.of.applyAsDouble(size);
    }
}
