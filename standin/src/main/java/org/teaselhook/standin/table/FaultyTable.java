package org.teaselhook.standin.table;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A table in memory that shows the faults asked for. An answer that is lost never completes.
 */
final class FaultyTable implements TableService {

    private final InMemoryTable table = InMemoryTable.empty();
    private final ScheduledExecutorService timer;
    private final RandomGenerator random;
    private final LongAdder reads = new LongAdder();
    private final LongAdder writes = new LongAdder();
    private final LongAdder conflicts = new LongAdder();
    private volatile TableFaults faults;

    FaultyTable(ScheduledExecutorService timer, RandomGenerator random, TableFaults faults) {
        this.timer = timer;
        this.random = random;
        this.faults = faults;
    }

    // -- faults and counters

    void faults(TableFaults changed) {
        faults = Objects.requireNonNull(changed, "changed is null");
    }

    TableFaults faults() {
        return faults;
    }

    TableCounters counters() {
        return new TableCounters(reads.sum(), writes.sum(), conflicts.sum());
    }

    // -- calls

    @Override
    public CompletionStage<TableResult> read(String key) {
        return answer(faults.readLatencyMillis(), () -> counted(table.read(key)));
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return answer(faults.readLatencyMillis(), () -> counted(table.scan(fromInclusive, toExclusive, limit)));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        TableFaults now = faults;
        double draw = random.nextDouble();
        if (now.outage() == TableFaults.Outage.NONE && draw < now.lateShare()) {
            timer.schedule(() -> apply(transaction), now.lateMillis(), TimeUnit.MILLISECONDS);
            return new CompletableFuture<>();
        }
        boolean lost = draw < now.lateShare() + now.lostAnswerShare();
        CompletionStage<TableResult> answer = answer(now.writeLatencyMillis(), () -> apply(transaction));
        return lost ? new CompletableFuture<>() : answer;
    }

    // -- effects

    private CompletionStage<TableResult> answer(long latencyMillis, Supplier<TableResult> effect) {
        switch (faults.outage()) {
            case REFUSING:
                return CompletableFuture.completedFuture(new TableResult.Unavailable("outage"));
            case SILENT:
                return new CompletableFuture<>();
            default:
                return latencyMillis == 0
                        ? CompletableFuture.completedFuture(effect.get())
                        : delayed(latencyMillis, effect);
        }
    }

    private CompletionStage<TableResult> delayed(long latencyMillis, Supplier<TableResult> effect) {
        CompletableFuture<TableResult> answer = new CompletableFuture<>();
        timer.schedule(() -> answer.complete(effect.get()), latencyMillis, TimeUnit.MILLISECONDS);
        return answer;
    }

    private TableResult counted(TableResult result) {
        reads.increment();
        return result;
    }

    private TableResult apply(Transaction transaction) {
        TableResult result = table.commit(transaction);
        (result instanceof TableResult.Committed ? writes : conflicts).increment();
        return result;
    }
}
