package org.teaselhook.node.claim;

import java.util.concurrent.CompletionStage;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableService;

/**
 * Claims keys over the table service. All methods may be called by any thread and do not block.
 *
 * <pre>{@code
 * claims.claim(key, digest, deadlineNanos, System.nanoTime()).thenAccept(this::proceed);
 * }</pre>
 */
public final class Claims implements AutoCloseable {

    private Claims() {}

    /**
     * Starts the control thread.
     *
     * @param self the incarnation that claims
     * @param table the table service
     * @param limits the bounds
     * @param listener told of each append, conflict and settlement on the control thread
     * @return the runner
     */
    public static Claims start(Incarnation self, TableService table, LedgerLimits limits, ClaimListener listener) {
        throw new UnsupportedOperationException();
    }

    /**
     * Reads the claims within the retention time. Until it has completed once, every claim is refused as unavailable.
     *
     * @return completes when all shards have been read, which may take until the table service is back
     */
    public CompletionStage<Void> warmUp() {
        throw new UnsupportedOperationException();
    }

    /**
     * Claims a key for this incarnation.
     *
     * @param key the caller's key
     * @param bodyDigest a digest of the request's body and kind, to tell a resubmission from another request
     * @param deadlineNanos the time on {@link System#nanoTime()} after which a claim is of no use
     * @param nowNanos the present time on {@link System#nanoTime()}
     * @return the result, by the deadline
     */
    public CompletionStage<ClaimResult> claim(String key, long bodyDigest, long deadlineNanos, long nowNanos) {
        throw new UnsupportedOperationException();
    }

    /**
     * States that the submission under a key that was won did not start and will not under that claim. A later claim of
     * the key by this incarnation may win it again.
     *
     * @param key the key
     */
    public void abandon(String key) {
        throw new UnsupportedOperationException();
    }

    /** Stops the control thread. Claims that are still open complete as unavailable. */
    @Override
    public void close() {
        throw new UnsupportedOperationException();
    }
}
