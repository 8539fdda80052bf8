package org.teaselhook.core.lease;

/**
 * The result of a call that renews the lease and lists the runs.
 */
public sealed interface LookResult {

    /**
     * The worker answered.
     *
     * @param snapshot the listed runs
     */
    record Seen(WorkerLook snapshot) implements LookResult {}

    /** The worker has seen a higher fencing token. */
    record Fenced() implements LookResult {}

    /** Another worker answers at the address. */
    record OtherWorker() implements LookResult {}

    /**
     * There was no usable answer.
     *
     * @param reason the cause
     */
    record Missed(String reason) implements LookResult {}
}
