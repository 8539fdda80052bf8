package org.teaselhook.bench.capacity;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

public final class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    // -- of

    @DataProvider
    public Object[][] points() {
        return new Object[][] {
            {new double[] {1, 2, 3}, new double[] {3, 5, 7}, new LinearFit(2, 1, 0, 1)},
            {new double[] {10, 40, 120}, new double[] {5, 5, 5}, new LinearFit(0, 5, 0, 1)},
            // Residuals 1/6, -1/3, 1/6: their squares sum to 1/6, divided by one degree of freedom and by 2.
            {new double[] {1, 2, 3}, new double[] {1, 1, 2}, new LinearFit(0.5, 1.0 / 3, Math.sqrt(1.0 / 12), 0.75)},
        };
    }

    @Test(dataProvider = "points")
    public void shouldFitLineWithStandardError(double[] x, double[] y, LinearFit expected) {
        LinearFit fit = LinearFit.of(x, y);
        assertEquals(fit.slope(), expected.slope(), TOLERANCE);
        assertEquals(fit.intercept(), expected.intercept(), TOLERANCE);
        assertEquals(fit.slopeError(), expected.slopeError(), TOLERANCE);
        assertEquals(fit.determination(), expected.determination(), TOLERANCE);
    }

    @DataProvider
    public Object[][] unfit() {
        return new Object[][] {
            {new double[] {1, 2}, new double[] {1, 2}},
            {new double[] {4, 4, 4}, new double[] {1, 2, 3}},
            {new double[] {1, 2, 3}, new double[] {1, 2}},
        };
    }

    @Test(dataProvider = "unfit")
    public void shouldRefusePointsThatDefineNoLine(double[] x, double[] y) {
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(x, y));
    }
}
