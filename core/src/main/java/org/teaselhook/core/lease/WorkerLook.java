package org.teaselhook.core.lease;

import java.util.List;

/**
 * What a worker listed in one answer.
 *
 * @param startedAtMillis the Unix time of the worker's start; 0 if it did not say
 * @param clockMillis the worker's clock when it answered
 * @param running what runs, with its progress
 * @param ended what has ended and was not acknowledged, at most some hundreds at a time
 */
public record WorkerLook(long startedAtMillis, long clockMillis, List<Running> running, List<Ended> ended) {

    /** Copies the lists. */
    public WorkerLook {
        running = List.copyOf(running);
        ended = List.copyOf(ended);
    }

    /**
     * A run that is there.
     *
     * @param run the run
     * @param percent how much of its work is done, from 0 to 100
     */
    public record Running(RunId run, int percent) {}

    /**
     * The end of a run.
     *
     * @param number rises from 1 in each life of the worker
     * @param run the run
     * @param outcome how it ended
     */
    public record Ended(long number, RunId run, RunOutcome outcome) {}
}
