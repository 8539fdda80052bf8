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
 * An in-memory table that injects the configured faults. The stage of a lost answer never completes.
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

    void setFaults(TableFaults changed) {
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
        return respond(faults.readLatencyMillis(), () -> countRead(table.read(key)));
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return respond(faults.readLatencyMillis(), () -> countRead(table.scan(fromInclusive, toExclusive, limit)));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        TableFaults current = faults;
        double draw = random.nextDouble();
        if (current.outage() == TableFaults.Outage.NONE && draw < current.lateShare()) {
            timer.schedule(() -> apply(transaction), current.lateMillis(), TimeUnit.MILLISECONDS);
            return new CompletableFuture<>();
        }
        boolean lost = draw < current.lateShare() + current.lostAnswerShare();
        CompletionStage<TableResult> answer = respond(current.writeLatencyMillis(), () -> apply(transaction));
        return lost ? new CompletableFuture<>() : answer;
    }

    // -- execution

    private CompletionStage<TableResult> respond(long latencyMillis, Supplier<TableResult> effect) {
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

    private TableResult countRead(TableResult result) {
        reads.increment();
        return result;
    }

    private TableResult apply(Transaction transaction) {
        TableResult result = table.commit(transaction);
        (result instanceof TableResult.Committed ? writes : conflicts).increment();
        return result;
    }
}
