package org.teaselhook.bench.capacity;

import java.util.stream.IntStream;

/**
 * A line fitted to points by least squares.
 *
 * <pre>{@code
 * LinearFit fit = LinearFit.of(new double[] {1, 2, 3}, new double[] {3, 5, 7}); // slope 2, intercept 1
 * }</pre>
 *
 * @param slope the change of y for each unit of x
 * @param intercept y at x = 0
 * @param slopeError the standard error of the slope
 * @param determination the coefficient of determination R², from 0 to 1
 */
public record LinearFit(double slope, double intercept, double slopeError, double determination) {

    /** The minimum number of points for which a standard error exists. */
    public static final int MIN_POINTS = 3;

    /**
     * Fits a line.
     *
     * @param x the sizes, at least three and not all equal
     * @param y the measures, one for each size
     * @return the line
     * @throws IllegalArgumentException if there are too few points, a measure is missing, or all sizes are equal
     */
    public static LinearFit of(double[] x, double[] y) {
        if (x.length < MIN_POINTS || x.length != y.length) {
            throw new IllegalArgumentException(
                    "a linear fit needs at least " + MIN_POINTS + " points, with one measure for each size");
        }
        double meanX = mean(x);
        double meanY = mean(y);
        double squaresX = sumOfProducts(x, meanX, x, meanX);
        if (squaresX == 0) {
            throw new IllegalArgumentException("all sizes are equal; choose different ones");
        }
        double slope = sumOfProducts(x, meanX, y, meanY) / squaresX;
        double intercept = meanY - slope * meanX;
        double residualSquares = IntStream.range(0, x.length)
                .mapToDouble(i -> square(y[i] - intercept - slope * x[i]))
                .sum();
        double squaresY = sumOfProducts(y, meanY, y, meanY);
        double slopeError = Math.sqrt(residualSquares / (x.length - 2) / squaresX);
        return new LinearFit(slope, intercept, slopeError, squaresY == 0 ? 1 : 1 - residualSquares / squaresY);
    }

    private static double mean(double[] values) {
        return IntStream.range(0, values.length).mapToDouble(i -> values[i]).sum() / values.length;
    }

    private static double sumOfProducts(double[] a, double meanA, double[] b, double meanB) {
        return IntStream.range(0, a.length)
                .mapToDouble(i -> (a[i] - meanA) * (b[i] - meanB))
                .sum();
    }

    private static double square(double value) {
        return value * value;
    }
}
