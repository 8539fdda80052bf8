package org.teaselhook.core.dispatch;

import java.util.Map;

/**
 * Counters since the start of the entry, and current gauges.
 *
 * @param submissions submissions admitted or refused
 * @param complete submissions answered complete
 * @param notRun submissions answered not run
 * @param mayHaveRun submissions answered may have run
 * @param dispatches orders sent, for any cause
 * @param retries orders sent after the task may have started
 * @param hedges orders sent while another was in progress
 * @param lostHedges late results of tasks that were started more than once
 * @param probes orders sent to ejected workers
 * @param lateResults results of tasks already answered or failed
 * @param unknownResults results and refusals with an unknown dispatch number, such as duplicates
 * @param cancels cancellations sent to agents
 * @param refusals refusals by agents, by reason
 * @param queued tasks in the queues
 * @param running orders in progress
 * @param workers known agents
 * @param ejected ejected workers, counted per service, which get only probes
 */
public record DispatchStats(
        long submissions,
        long complete,
        long notRun,
        long mayHaveRun,
        long dispatches,
        long retries,
        long hedges,
        long lostHedges,
        long probes,
        long lateResults,
        long unknownResults,
        long cancels,
        Map<RefusalReason, Long> refusals,
        int queued,
        int running,
        int workers,
        int ejected) {

    /** Copies the map. */
    public DispatchStats {
        refusals = Map.copyOf(refusals);
    }
}
