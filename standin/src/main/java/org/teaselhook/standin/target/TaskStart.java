package org.teaselhook.standin.target;

/**
 * The start of a task as observed by the target.
 *
 * @param target the target's name
 * @param zone the target's availability zone
 * @param service the service
 * @param kind the kind of the task
 * @param customer the customer
 * @param submission the submission's id
 * @param taskIndex the task's index in the submission
 * @param attempt identifies the dispatch: the entry's incarnation and the dispatch number
 * @param body the task's body, which must not be changed
 * @param wallMillis the wall-clock time of the start, in milliseconds since the epoch
 * @param monotonicNanos the monotonic time of the start, in nanoseconds; comparable only on this machine
 */
public record TaskStart(
        String target,
        String zone,
        String service,
        String kind,
        String customer,
        String submission,
        int taskIndex,
        String attempt,
        byte[] body,
        long wallMillis,
        long monotonicNanos) {}
