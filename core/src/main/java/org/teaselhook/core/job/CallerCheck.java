package org.teaselhook.core.job;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Checks before an order that the caller of its job still waits. A caller that has left may send the job to another
 * entry, while its request, or the end of its connection, lies unread at this one. Confined to the dispatcher's thread.
 */
final class CallerCheck {

    /** What is known of the callers of a job. */
    enum Result {
        CONNECTED,
        UNKNOWN,
        LEFT
    }

    /**
     * The maximum time from when a caller was known to be connected to an order, in ns: the 1,300 ms until a caller
     * that has left resends, less the agent's timeout of 500 ms and a lease of 695 ms.
     */
    private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The age from which connections are read again, in ns, so that the next order need not wait. */
    private static final long REFRESH_AGE_NANOS = MAX_AGE_NANOS / 2;

    private final JobOutput output;
    private long resumedAt = Long.MIN_VALUE;

    CallerCheck(JobOutput output) {
        this.output = output;
    }

    /** Disregards what was known before a pause of this process, which its clock may have left out. */
    void resumedAfterPause(long nowNanos) {
        resumedAt = nowNanos;
    }

    /** Checks the callers of a job; if they are unknown, their connections are being read. */
    Result check(long nowNanos, String jobId) {
        OptionalLong seenAt = output.callerSeenAt(jobId);
        if (seenAt.isEmpty()) {
            return Result.LEFT;
        }
        long ageNanos = ageNanos(nowNanos, seenAt.getAsLong());
        if (ageNanos > REFRESH_AGE_NANOS) {
            output.readCallers();
        }
        return ageNanos <= MAX_AGE_NANOS ? Result.CONNECTED : Result.UNKNOWN;
    }

    private long ageNanos(long nowNanos, long seenAt) {
        boolean isBeforePause = resumedAt != Long.MIN_VALUE && seenAt - resumedAt <= 0;
        return isBeforePause ? Long.MAX_VALUE : nowNanos - seenAt;
    }
}
