package org.teaselhook.node.claim;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.claim.LedgerLimits;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertTrue;

public class LedgerLoopTest {

    private static final long BUSY_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final long IDLE_AFTER_MILLIS = 150;

    private final Queue<Runnable> events = new ArrayDeque<>();
    private final EmptyTable table = new EmptyTable();
    private LedgerLoop loop;

    @BeforeMethod
    public void create() {
        events.clear();
        table.unresponsive = false;
        loop = new LedgerLoop(
                Incarnation.of(1), LedgerLimits.standard(), new Random(1), table, event -> {}, events::add);
    }

    // -- nextTickNanos

    @Test
    public void shouldTickRarelyWhileIdle() throws Exception {
        becomeIdle();
        assertTrue(loop.nextTickNanos() - System.nanoTime() > BUSY_TICK_NANOS);
    }

    @Test
    public void shouldTickImmediatelyAfterClaimWhenIdle() throws Exception {
        becomeIdle();
        Thread.sleep(10);
        table.unresponsive = true;
        loop.claim(new CompletableFuture<>(), "key", 1, System.nanoTime() + TimeUnit.SECONDS.toNanos(1));
        assertTrue(loop.nextTickNanos() <= System.nanoTime());
    }

    @Test
    public void shouldTickSoonWhileCallIsInFlight() throws Exception {
        table.unresponsive = true;
        loop.tick();
        Thread.sleep(IDLE_AFTER_MILLIS);
        loop.tick();
        assertTrue(loop.nextTickNanos() - System.nanoTime() <= BUSY_TICK_NANOS);
    }

    @Test
    public void shouldTickImmediatelyAfterAbandonWhenIdle() throws Exception {
        becomeIdle();
        Thread.sleep(10);
        loop.abandon("key");
        assertTrue(loop.nextTickNanos() <= System.nanoTime());
    }

    private void becomeIdle() throws InterruptedException {
        loop.tick();
        runEvents();
        Thread.sleep(IDLE_AFTER_MILLIS);
        loop.tick();
        runEvents();
    }

    private void runEvents() {
        while (!events.isEmpty()) {
            events.remove().run();
        }
    }

    /** Table service without rows. Answers immediately, or never while unresponsive. */
    private static final class EmptyTable implements TableService {
        private boolean unresponsive;

        @Override
        public CompletionStage<TableResult> read(String key) {
            return answer(new TableResult.NotFound());
        }

        @Override
        public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
            return answer(new TableResult.Rows(List.of()));
        }

        @Override
        public CompletionStage<TableResult> commit(Transaction transaction) {
            return answer(new TableResult.Committed());
        }

        private CompletionStage<TableResult> answer(TableResult result) {
            return unresponsive ? new CompletableFuture<>() : CompletableFuture.completedFuture(result);
        }
    }
}
