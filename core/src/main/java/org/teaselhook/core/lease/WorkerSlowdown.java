package org.teaselhook.core.lease;

import java.util.List;
import java.util.OptionalDouble;

/**
 * The slowdown of a worker: how much longer its runs take than estimated. A worker may suddenly become several times
 * slower or stall; the progress of its runs shows this long before the first of them ends. Estimates are wrong by up to
 * half for a job, so the median of at least two runs is used.
 */
final class WorkerSlowdown {

    /** The minimum number of runs with a forecast: a single one may have a wrong estimate. */
    private static final int MIN_RUNS = 2;

    private WorkerSlowdown() {}

    /** Returns the lower median of forecast to estimate, 1 if estimates are right; empty if too few runs have both. */
    static OptionalDouble of(List<Run> runs) {
        double[] ratios = runs.stream()
                .filter(run -> run.request().estimateMillis() > 0)
                .flatMap(run -> run.forecast().stream()
                        .map(forecast ->
                                (double) forecast.totalMillis() / run.request().estimateMillis()))
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return ratios.length < MIN_RUNS ? OptionalDouble.empty() : OptionalDouble.of(ratios[(ratios.length - 1) / 2]);
    }
}
