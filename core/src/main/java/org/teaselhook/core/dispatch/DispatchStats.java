package org.teaselhook.core.dispatch;

import java.util.Map;

/**
 * Counts since the start of the entry, and sizes at present.
 *
 * @param submissions submissions taken or refused
 * @param complete submissions answered complete
 * @param notRun submissions answered not run
 * @param mayHaveRun submissions answered may have run
 * @param dispatches orders sent, of any cause
 * @param retries orders sent after a possible start
 * @param hedges orders sent while another was in progress
 * @param lostHedges results of hedged tasks that came second
 * @param probes orders sent to ejected workers
 * @param lateResults results for tasks already answered or given up
 * @param unknownResults results for dispatch numbers no longer known, such as duplicates
 * @param cancels cancellations sent to agents
 * @param refusals refusals by agents, by reason
 * @param queued tasks that wait
 * @param running orders in progress
 * @param workers agents known
 * @param ejected agents that get no more than probes
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
