package org.teaselhook.core.lease;

import java.util.List;
import java.util.OptionalDouble;

/**
 * How long runs take on a worker beside their estimates. Answers workers that turn several times slower or stand still
 * at a moment: the progress of all that runs there shows it long before the first run ends. Estimates are off by up to
 * half for a job, so that a few runs are needed, and the middle one is taken.
 */
final class WorkerPace {

    /** The least number of runs that tell: one alone may have a wrong estimate. */
    private static final int LEAST_RUNS = 2;

    private WorkerPace() {}

    /** Returns the middle ratio of forecast to estimate; 1 where estimates are right. Empty if too few runs tell. */
    static OptionalDouble of(List<Run> runs) {
        double[] ratios = runs.stream()
                .filter(run -> run.request().estimateMillis() > 0)
                .flatMap(run -> run.forecast().stream()
                        .map(forecast ->
                                (double) forecast.totalMillis() / run.request().estimateMillis()))
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return ratios.length < LEAST_RUNS ? OptionalDouble.empty() : OptionalDouble.of(ratios[(ratios.length - 1) / 2]);
    }
}
