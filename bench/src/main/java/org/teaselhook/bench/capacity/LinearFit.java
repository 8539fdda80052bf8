package org.teaselhook.bench.capacity;

import java.util.stream.IntStream;

/**
 * A line fitted through points by least squares.
 *
 * <pre>{@code
 * LinearFit fit = LinearFit.of(new double[] {1, 2, 3}, new double[] {3, 5, 7}); // slope 2, intercept 1
 * }</pre>
 *
 * @param slope the change of y for each unit of x
 * @param intercept y at x = 0
 * @param slopeError the standard error of the slope
 * @param determination the share of the variance that the line explains, from 0 to 1
 */
public record LinearFit(double slope, double intercept, double slopeError, double determination) {

    /** The least number of points for which an error can be given. */
    public static final int LEAST_POINTS = 3;

    /**
     * Fits a line.
     *
     * @param x the sizes, at least three and not all equal
     * @param y the measures, one for each size
     * @return the line
     * @throws IllegalArgumentException if there are too few points or no two sizes differ
     */
    public static LinearFit of(double[] x, double[] y) {
        if (x.length < LEAST_POINTS || x.length != y.length) {
            throw new IllegalArgumentException("a fit takes at least " + LEAST_POINTS + " points; add sizes");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double varianceX = products(x, meanX, x, meanX);
        if (varianceX == 0) {
            throw new IllegalArgumentException("all sizes are equal; choose different ones");
        }
        double slope = products(x, meanX, y, meanY) / varianceX;
        double intercept = meanY - slope * meanX;
        double residual = IntStream.range(0, x.length)
                .mapToDouble(i -> square(y[i] - intercept - slope * x[i]))
                .sum();
        double varianceY = products(y, meanY, y, meanY);
        double error = Math.sqrt(residual / (x.length - 2) / varianceX);
        return new LinearFit(slope, intercept, error, varianceY == 0 ? 1 : 1 - residual / varianceY);
    }

    private static double mean(double[] values) {
        return IntStream.range(0, values.length).mapToDouble(i -> values[i]).sum() / values.length;
    }

    private static double products(double[] a, double meanA, double[] b, double meanB) {
        return IntStream.range(0, a.length)
                .mapToDouble(i -> (a[i] - meanA) * (b[i] - meanB))
                .sum();
    }

    private static double square(double value) {
        return value * value;
    }
}
