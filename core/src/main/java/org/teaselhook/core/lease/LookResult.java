package org.teaselhook.core.lease;

/**
 * What became of the call that renews the lease and lists the runs.
 */
public sealed interface LookResult {

    /**
     * The worker answered.
     *
     * @param look what it listed
     */
    record Seen(WorkerLook look) implements LookResult {}

    /** The worker has seen a higher fencing token. */
    record Fenced() implements LookResult {}

    /** Another worker answers at the address. */
    record OtherWorker() implements LookResult {}

    /**
     * There was no usable answer.
     *
     * @param reason what was seen
     */
    record Missed(String reason) implements LookResult {}
}
