package org.teaselhook.node.claim;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.ClaimResult;
import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.claim.LookupResult;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.control.ControlLoop;

/**
 * Claims keys in a ledger that is stored in the table service. Thread-safe; no method blocks.
 *
 * <pre>{@code
 * claims.claim(key, digest, deadlineNanos, System.nanoTime()).thenAccept(this::proceed);
 * }</pre>
 */
public final class ClaimService implements AutoCloseable {

    private static final long LOOKUP_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ControlLoop control;
    private final LedgerLoop loop;
    private final Set<CompletableFuture<ClaimResult>> pending = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private ClaimService(ControlLoop control, LedgerLoop loop) {
        this.control = control;
        this.loop = loop;
    }

    // -- factories

    /**
     * Starts the control thread, which starts reading the claims within the retention time.
     *
     * @param self the incarnation on whose behalf keys are claimed
     * @param table the table service
     * @param limits the limits of the ledger
     * @param listener notified of the ledger's events on the control thread
     * @return the running service
     */
    public static ClaimService start(
            Incarnation self, TableService table, LedgerLimits limits, ClaimListener listener) {
        Objects.requireNonNull(table, "table is null");
        Objects.requireNonNull(listener, "listener is null");
        ControlLoop control = ControlLoop.start("claims", System::nanoTime, ClaimService::logFault);
        LedgerLoop loop = new LedgerLoop(self, limits, new SecureRandom(), table, listener, control);
        control.atDeadline(loop::nextTickNanos, nowNanos -> loop.tick());
        return new ClaimService(control, loop);
    }

    /** Only logs the exception: the affected claims are completed by their deadline. */
    private static void logFault(Throwable fault) {
        LogLine.of("claims-fault").with("fault", fault).warn();
    }

    // -- operations

    /**
     * Reads the claims within the retention time. Until that is done, every claim is refused as unavailable.
     *
     * @return completes when all shards have been read, which may take until the table service recovers
     */
    public CompletionStage<Void> warmUp() {
        return loop.warmUp();
    }

    /**
     * Claims a key for this incarnation.
     *
     * @param key the caller's key
     * @param bodyDigest a digest of the request's body and kind, to distinguish a resubmission from another request
     * @param deadlineNanos the time on {@link System#nanoTime()} by which the result is needed
     * @param nowNanos the current time on {@link System#nanoTime()}
     * @return completes with the result by the deadline, on the control thread
     */
    public CompletionStage<ClaimResult> claim(String key, long bodyDigest, long deadlineNanos, long nowNanos) {
        Objects.requireNonNull(key, "key is null");
        if (deadlineNanos - nowNanos <= 0) {
            return CompletableFuture.completedFuture(new ClaimResult.Unavailable(Duration.ZERO));
        }
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        pending.add(result);
        result.whenComplete((answer, failure) -> pending.remove(result));
        control.execute(() -> loop.claim(result, key, bodyDigest, deadlineNanos));
        if (closed) {
            refusePending();
        }
        return result;
    }

    /**
     * Looks up the holder of a key without claiming it. A known key, or any key while the table service is down, is
     * answered immediately from memory, which is at most about 1 s behind the other incarnations; otherwise the log is
     * read.
     *
     * @param key the key
     * @return completes with what is known, within about 300 ms
     */
    public CompletionStage<LookupResult> lookup(String key) {
        Objects.requireNonNull(key, "key is null");
        CompletableFuture<LookupResult> result = new CompletableFuture<>();
        control.execute(() -> loop.lookup(result, key, System.nanoTime() + LOOKUP_TIMEOUT_NANOS));
        return result.completeOnTimeout(
                new LookupResult.NotHeld(false), 2 * LOOKUP_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Tells whether all claims older than about two seconds are known.
     *
     * @return true while the table service is reachable and the log has been read to its end
     */
    public boolean isCurrent() {
        return loop.isCurrent();
    }

    /**
     * Abandons an acquired key: its submission did not start and will not start under that claim. A later claim of the
     * key by this incarnation may acquire it again.
     *
     * @param key the key
     */
    public void abandon(String key) {
        Objects.requireNonNull(key, "key is null");
        control.execute(() -> loop.abandon(key));
    }

    /** Stops the control thread. Pending claims complete as unavailable. */
    @Override
    public void close() {
        closed = true;
        control.close();
        refusePending();
    }

    private void refusePending() {
        pending.forEach(result -> result.complete(new ClaimResult.Unavailable(Duration.ZERO)));
    }
}
