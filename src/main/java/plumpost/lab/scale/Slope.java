package plumpost.lab.scale;

import java.util.List;
import java.util.function.DoubleUnaryOperator;

/**
 * A least-squares fit of a cost as a fixed part and a part that grows with a size.
 *
 * @param form how the second part grows
 * @param fixed the cost at size 0
 * @param slope the cost of each unit of the form
 * @param residual root mean square error of the fit, in the unit of the cost
 */
record Slope(Form form, double fixed, double slope, double residual) {
    /** How a cost may grow with a size. */
    enum Form {
        LINEAR("n", size -> size),
        N_LOG_N("n log n", size -> size * Math.log(Math.max(1, size)) / Math.log(2)),
        QUADRATIC("n^2", size -> size * size);

        final String label;
        final DoubleUnaryOperator term;

        Form(String label, DoubleUnaryOperator of) {
            this.label = label;
            this.term = of;
        }
    }

    /** A measured point. */
    record Point(double size, double cost) {}

    /** Returns the form with the smallest residual if it is clearly smaller than that of a line, else the line. */
    static Slope best(List<Point> points) {
        Slope line = fit(points, Form.LINEAR);
        Slope best = line;
        for (Form form : Form.values()) {
            Slope other = fit(points, form);
            if (other.slope > 0 && other.residual < best.residual) {
                best = other;
            }
        }
        return best.residual < MAX_RESIDUAL_RATIO * line.residual ? best : line;
    }

    /** Another form replaces the line only if its residual is less than this fraction of the line's. */
    private static final double MAX_RESIDUAL_RATIO = 0.7;

    /** Fits one form to the points. */
    static Slope fit(List<Point> points, Form form) {
        double n = points.size();
        double meanX = 0;
        double meanY = 0;
        for (Point point : points) {
            meanX += form.term.applyAsDouble(point.size()) / n;
            meanY += point.cost() / n;
        }
        double xx = 0;
        double xy = 0;
        for (Point point : points) {
            double x = form.term.applyAsDouble(point.size()) - meanX;
            xx += x * x;
            xy += x * (point.cost() - meanY);
        }
        double slope = xx == 0 ? 0 : xy / xx;
        double fixed = meanY - slope * meanX;
        double squares = 0;
        for (Point point : points) {
            double left = point.cost() - fixed - slope * form.term.applyAsDouble(point.size());
            squares += left * left;
        }
        return new Slope(form, fixed, slope, Math.sqrt(squares / Math.max(1, n)));
    }

    /** Returns the cost that the fit predicts for a size. */
    double costAt(double size) {
        return fixed + slope * form.term.applyAsDouble(size);
    }
}
