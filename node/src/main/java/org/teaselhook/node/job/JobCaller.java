package org.teaselhook.node.job;

import java.util.concurrent.CompletableFuture;

import org.teaselhook.core.job.JobResult;

/**
 * A caller that waits for a job. Compared by identity.
 */
final class JobCaller {

    private final CompletableFuture<Void> disconnected;
    private final long receivedAt;
    private final CompletableFuture<JobResult> answer = new CompletableFuture<>();

    /**
     * Creates a caller.
     *
     * @param receivedAt when its request was read, in nanoseconds; its connection was open after that
     * @param disconnected completes when its connection closes, also before the control thread hears of it
     */
    JobCaller(long receivedAt, CompletableFuture<Void> disconnected) {
        this.receivedAt = receivedAt;
        this.disconnected = disconnected;
    }

    long receivedAt() {
        return receivedAt;
    }

    boolean isConnected() {
        return !disconnected.isDone();
    }

    CompletableFuture<JobResult> answer() {
        return answer;
    }
}
