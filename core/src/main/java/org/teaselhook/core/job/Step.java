package org.teaselhook.core.job;

import java.util.List;
import java.util.Optional;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * A step of a job: tasks with the same requirements.
 *
 * @param tasks the number of tasks, at least 1
 * @param amounts the resources that each task uses
 * @param estimateMillis the estimated run time of a task, in milliseconds; 0 if unknown
 * @param after the indices, from 0, of the earlier steps that must be done first
 * @param requiredLabel a label that the worker must have, if any
 * @param preferredRack the label of the rack near the data, if any
 * @param maxPerWorker the greatest number of tasks on one worker; 0 for no limit
 */
public record Step(
        int tasks,
        ResourceAmounts amounts,
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
