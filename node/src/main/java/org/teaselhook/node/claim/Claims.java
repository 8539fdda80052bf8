package org.teaselhook.node.claim;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.LookupResult;
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

    private static final long TICK_MILLIS = 5;

    private final ScheduledExecutorService control;
    private final LedgerLoop loop;

    private Claims(ScheduledExecutorService control, LedgerLoop loop) {
        this.control = control;
        this.loop = loop;
    }

    // -- factories

    /**
     * Starts the control thread, which begins to read the claims within the retention time.
     *
     * @param self the incarnation that claims
     * @param table the table service
     * @param limits the bounds
     * @param listener told of each append, conflict and settlement on the control thread
     * @return the runner
     */
    public static Claims start(Incarnation self, TableService table, LedgerLimits limits, ClaimListener listener) {
        Objects.requireNonNull(table, "table is null");
        Objects.requireNonNull(listener, "listener is null");
        ScheduledExecutorService control = Executors.newSingleThreadScheduledExecutor(Claims::daemon);
        LedgerLoop loop = new LedgerLoop(self, limits, new SecureRandom(), table, listener, control);
        control.scheduleAtFixedRate(loop::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
        return new Claims(control, loop);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task, "claims");
        thread.setDaemon(true);
        return thread;
    }

    // -- operations

    /**
     * Waits for the claims within the retention time to be read. Until then, every claim is refused as unavailable.
     *
     * @return completes when all shards have been read, which may take until the table service is back
     */
    public CompletionStage<Void> warmUp() {
        return loop.warmUp();
    }

    /**
     * Claims a key for this incarnation.
     *
     * @param key the caller's key
     * @param bodyDigest a digest of the request's body and kind, to tell a resubmission from another request
     * @param deadlineNanos the time on {@link System#nanoTime()} after which a claim is of no use
     * @param nowNanos the present time on {@link System#nanoTime()}
     * @return the result, by the deadline; it completes on the control thread
     */
    public CompletionStage<ClaimResult> claim(String key, long bodyDigest, long deadlineNanos, long nowNanos) {
        Objects.requireNonNull(key, "key is null");
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        if (!execute(() -> loop.claim(result, key, bodyDigest, deadlineNanos))) {
            result.complete(new ClaimResult.Unavailable(Duration.ZERO));
        }
        return result;
    }

    /**
     * Asks who holds a key, without claiming it.
     *
     * @param key the key
     * @return what is known
     */
    public CompletionStage<LookupResult> lookup(String key) {
        Objects.requireNonNull(key, "key is null");
        return CompletableFuture.completedFuture(new LookupResult.NotHeld(false));
    }

    /**
     * States that the submission under a key that was won did not start and will not under that claim. A later claim of
     * the key by this incarnation may win it again.
     *
     * @param key the key
     */
    public void abandon(String key) {
        Objects.requireNonNull(key, "key is null");
        execute(() -> loop.abandon(key));
    }

    /** Stops the control thread. Claims that are still open complete as unavailable. */
    @Override
    public void close() {
        execute(loop::stop);
        control.shutdown();
    }

    private boolean execute(Runnable task) {
        try {
            control.execute(task);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }
}
