package org.teaselhook.core.dispatch;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counters since the start of the entry.
 */
final class Counters {

    long submissions;
    long complete;
    long notRun;
    long mayHaveRun;
    long dispatches;
    long retries;
    long hedges;
    long lostHedges;
    long probes;
    long lateResults;
    long unknownResults;
    long cancels;
    private final Map<RefusalReason, Long> refusals = new EnumMap<>(RefusalReason.class);

    void refused(RefusalReason reason) {
        refusals.merge(reason, 1L, Long::sum);
    }

    DispatchStats stats(int queued, int running, int workers, int ejected) {
        return new DispatchStats(
                submissions,
                complete,
                notRun,
                mayHaveRun,
                dispatches,
                retries,
                hedges,
                lostHedges,
                probes,
                lateResults,
                unknownResults,
                cancels,
                refusals,
                queued,
                running,
                workers,
                ejected);
    }
}
