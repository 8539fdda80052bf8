package org.teaselhook.core.lease;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A worker's runs as listed in one answer.
 *
 * @param startedAtMillis the Unix time of the worker's start in milliseconds; 0 if the answer did not contain it
 * @param clockMillis the worker's clock when it answered, in milliseconds
 * @param running the runs in progress
 * @param ended the ends that are not acknowledged yet, at most some hundreds at a time
 */
public record WorkerSnapshot(long startedAtMillis, long clockMillis, List<Running> running, List<Ended> ended) {

    /**
     * Copies the lists. The ends are sorted by number, as those up to the last one are acknowledged; a run that ended
     * while the answer was composed may be in both lists, and is left out of the other one.
     */
    public WorkerSnapshot {
        ended = ended.stream().sorted(Comparator.comparingLong(Ended::number)).toList();
        Set<RunId> over = ended.stream().map(Ended::run).collect(Collectors.toSet());
        running =
                running.stream().filter(listed -> !over.contains(listed.run())).toList();
    }

    /**
     * A run in progress.
     *
     * @param run the id of the run
     * @param percent the completed part of its work, from 0 to 100
     */
    public record Running(RunId run, int percent) {}

    /**
     * The end of a run.
     *
     * @param number the sequence number of the end, from 1 in each incarnation of the worker
     * @param run the id of the run
     * @param outcome how the run ended
     */
    public record Ended(long number, RunId run, RunOutcome outcome) {}
}
