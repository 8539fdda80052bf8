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
 * Claims keys over the table service. All methods may be called by any thread and do not block.
 *
 * <pre>{@code
 * claims.claim(key, digest, deadlineNanos, System.nanoTime()).thenAccept(this::proceed);
 * }</pre>
 */
public final class Claims implements AutoCloseable {

    private static final long LOOKUP_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ControlLoop control;
    private final LedgerLoop loop;
    private final Set<CompletableFuture<ClaimResult>> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    private Claims(ControlLoop control, LedgerLoop loop) {
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
        ControlLoop control = ControlLoop.start("claims", System::nanoTime, Claims::logFault);
        LedgerLoop loop = new LedgerLoop(self, limits, new SecureRandom(), table, listener, control);
        control.atDeadline(loop::nextTickNanos, nowNanos -> loop.tick());
        return new Claims(control, loop);
    }

    /** The claims concerned end by their deadline. */
    private static void logFault(Throwable fault) {
        LogLine.of("claims-fault").with("fault", fault).warn();
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
        if (deadlineNanos - nowNanos <= 0) {
            return CompletableFuture.completedFuture(new ClaimResult.Unavailable(Duration.ZERO));
        }
        CompletableFuture<ClaimResult> result = new CompletableFuture<>();
        open.add(result);
        result.whenComplete((answer, failure) -> open.remove(result));
        control.execute(() -> loop.claim(result, key, bodyDigest, deadlineNanos));
        if (closed) {
            refuseOpen();
        }
        return result;
    }

    /**
     * Asks who holds a key, without claiming it. A key that is known, or any key while the table service is down, is
     * answered at once from memory, which is about 1 s behind the other incarnations at most; else the log is read.
     *
     * @param key the key
     * @return what is known, within about 300 ms
     */
    public CompletionStage<LookupResult> lookup(String key) {
        Objects.requireNonNull(key, "key is null");
        CompletableFuture<LookupResult> result = new CompletableFuture<>();
        control.execute(() -> loop.lookup(result, key, System.nanoTime() + LOOKUP_TIMEOUT_NANOS));
        return result.completeOnTimeout(
                new LookupResult.NotHeld(false), 2 * LOOKUP_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /**
     * Tells whether all claims are known that were made until about two seconds ago.
     *
     * @return true while the table service is reached and its log was read to its end
     */
    public boolean isCurrent() {
        return loop.isCurrent();
    }

    /**
     * States that the submission under a key that was won did not start and will not under that claim. A later claim of
     * the key by this incarnation may win it again.
     *
     * @param key the key
     */
    public void abandon(String key) {
        Objects.requireNonNull(key, "key is null");
        control.execute(() -> loop.abandon(key));
    }

    /** Stops the control thread. Claims that are still open complete as unavailable. */
    @Override
    public void close() {
        closed = true;
        control.close();
        refuseOpen();
    }

    private void refuseOpen() {
        open.forEach(result -> result.complete(new ClaimResult.Unavailable(Duration.ZERO)));
    }
}
