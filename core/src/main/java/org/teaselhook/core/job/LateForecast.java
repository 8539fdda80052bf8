package org.teaselhook.core.job;

import java.util.Optional;

import org.teaselhook.core.outcome.Problem;

/**
 * Decides which late jobs are worth keeping: those that start while their callers wait, by a forecast for all jobs and
 * by one for the capacity that late jobs may use. The others are refused at once. Late jobs are added in scheduling
 * order.
 */
final class LateForecast {

    private final WaitForecast forecast;
    private final WaitForecast lateForecast;
    private final long onTimeCpuMillis;
    private long lateCpuMillis;

    LateForecast(WaitForecast forecast, WaitForecast lateForecast, long onTimeCpuMillis) {
        this.forecast = forecast;
        this.lateForecast = lateForecast;
        this.onTimeCpuMillis = onTimeCpuMillis;
    }

    /** Adds a late job that precedes the next ones. */
    void addAhead(ActiveJob active) {
        lateCpuMillis += active.readyCpuMillis();
    }

    /** Returns why a job cannot start while its caller waits, or empty if it can. */
    Optional<Problem> refusal(long nowNanos, ActiveJob active) {
        return JobAdmission.refusalIfTooLate(nowNanos, active, onTimeCpuMillis + lateCpuMillis, forecast)
                .or(() -> JobAdmission.refusalIfTooLate(nowNanos, active, lateCpuMillis, lateForecast));
    }
}
