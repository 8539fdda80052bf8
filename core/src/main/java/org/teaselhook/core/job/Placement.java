package org.teaselhook.core.job;

import java.util.concurrent.TimeUnit;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * An order in progress.
 *
 * @param number the order's number
 * @param task the task
 * @param worker the worker
 * @param placedAt when it was sent
 * @param expectedMillis the expected run time; 0 if unknown
 */
record Placement(long number, JobTask task, WorkerRecord worker, long placedAt, double expectedMillis) {

    ResourceAmounts amounts() {
        return task.step().amounts();
    }

    /** Returns the inputs of the choice of the worker, as pairs of key and value. */
    Object[] inputs(long nowNanos, long routesVersion) {
        return new Object[] {
            "worker",
            worker.name(),
            "order",
            number,
            "run",
            task.lastRun(),
            "free_cpu",
            worker.free().cpuMillis(),
            "view_age_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - worker.lastReportAt()),
            "slowness",
            Math.round(100 * worker.slowness(nowNanos)) / 100.0,
            "routes_version",
            routesVersion
        };
    }
}
