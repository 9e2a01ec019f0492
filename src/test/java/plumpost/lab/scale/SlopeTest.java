package plumpost.lab.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

/** Checks the fitted form and coefficients for known costs. */
class SlopeTest {
    private static final double[] SIZES = {20, 200, 2_000, 17_000};

    private static List<Slope.Point> points(DoubleUnaryOperator cost) {
        List<Slope.Point> points = new ArrayList<>();
        for (double size : SIZES) {
            double measured = cost.applyAsDouble(size);
            points.add(new Slope.Point(size, measured * 1.01));
            points.add(new Slope.Point(size, measured * 0.99));
        }
        return points;
    }

    @Test
    void linearCostsGiveALinearFit() {
        Slope slope = Slope.best(points(size -> 30 + 0.09 * size));
        assertThat(slope.form()).isEqualTo(Slope.Form.LINEAR);
        assertThat(slope.slope()).isCloseTo(0.09, within(0.001));
        assertThat(slope.fixed()).isCloseTo(30, within(1.0));
        assertThat(slope.costAt(17_000)).isCloseTo(1_560, within(20.0));
    }

    @Test
    void otherFormsAreRecognized() {
        assertThat(Slope.best(points(size -> 5 + 1e-4 * size * size)).form()).isEqualTo(Slope.Form.QUADRATIC);
        assertThat(Slope.fit(points(size -> 7), Slope.Form.LINEAR).slope()).isCloseTo(0, within(1e-4));
    }

    @Test
    void oneSizeGivesNoSlope() {
        assertThat(Slope.best(List.of(new Slope.Point(5, 3), new Slope.Point(5, 5)))
                        .fixed())
                .isEqualTo(4);
    }
}
