package org.teaselhook.core.lease;

/**
 * The result of a call that renews the lease and lists the runs.
 */
public sealed interface PollResult {

    /**
     * The worker answered.
     *
     * @param snapshot the listed runs
     */
    record Answered(WorkerSnapshot snapshot) implements PollResult {}

    /** The worker has seen a higher fencing token. */
    record Fenced() implements PollResult {}

    /** Another worker answers at the address. */
    record OtherWorker() implements PollResult {}

    /**
     * There was no usable answer.
     *
     * @param reason the cause
     */
    record Missed(String reason) implements PollResult {}
}
