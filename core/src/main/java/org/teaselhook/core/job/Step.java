package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;

import org.teaselhook.core.amount.Amounts;

/**
 * One step of a job: tasks that are alike.
 *
 * @param tasks the number of tasks, at least 1
 * @param amounts what each uses
 * @param estimateMillis how long one probably takes, in milliseconds; 0 if nobody knows
 * @param after the earlier steps, by number from 0, that must be done before
 * @param requiredLabel a label that the worker must have
 * @param preferredRack the rack near the data
 * @param maxPerWorker the greatest number of tasks on one worker; 0 for no limit
 */
public record Step(
        int tasks,
        Amounts amounts,
        long estimateMillis,
        List<Integer> after,
        Optional<String> requiredLabel,
        Optional<String> preferredRack,
        int maxPerWorker) {

    /** Copies the list. */
    public Step {
        after = List.copyOf(after);
    }
}
