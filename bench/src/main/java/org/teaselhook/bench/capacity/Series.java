package org.teaselhook.bench.capacity;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

/**
 * The measures of one part at increasing sizes. Prints each point when it is added, and finally the line fitted to each
 * measure.
 */
final class Series {

    private final String part;
    private final String unit;
    private final PrintWriter out;
    private final List<Double> sizes = new ArrayList<>();
    private final List<Map<String, Double>> points = new ArrayList<>();

    Series(String part, String unit, PrintWriter out) {
        this.part = Objects.requireNonNull(part, "part is null");
        this.unit = Objects.requireNonNull(unit, "unit is null");
        this.out = Objects.requireNonNull(out, "out is null");
    }

    void add(double size, Map<String, Double> measures) {
        sizes.add(size);
        points.add(measures);
        String values = measures.entrySet().stream()
                .map(entry -> entry.getKey() + "=" + format(entry.getValue()))
                .collect(Collectors.joining(" "));
        print("part=" + part + " " + unit + "=" + format(size) + " " + values);
    }

    /** Prints the line fitted to each measure of the first point, which all points must have. */
    void printFits() {
        points.get(0).keySet().forEach(this::printFit);
    }

    private void printFit(String measure) {
        double[] x = sizes.stream().mapToDouble(size -> size).toArray();
        double[] y = points.stream().mapToDouble(point -> point.get(measure)).toArray();
        LinearFit fit = LinearFit.of(x, y);
        print("part=" + part + " fit=" + measure + " per=" + unit + " slope=" + format(fit.slope()) + " slope_error="
                + format(fit.slopeError()) + " intercept=" + format(fit.intercept()) + " determination="
                + String.format(Locale.ROOT, "%.3f", fit.determination()) + " points=" + x.length);
    }

    private void print(String line) {
        out.println(line);
        out.flush();
    }

    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : String.format(Locale.ROOT, "%.5g", value);
    }
}
