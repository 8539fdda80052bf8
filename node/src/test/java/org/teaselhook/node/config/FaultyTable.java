package org.teaselhook.node.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A table service in memory whose requests take effect and are answered one at a time in an order drawn at random.
 * Some are answered as unavailable before they take effect, after it, or without ever taking effect.
 */
final class FaultyTable implements TableService {

    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final TreeMap<String, Long> versions = new TreeMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private final Random random;
    private int faultPercent;
    private Runnable afterCommit = () -> {};

    FaultyTable(Random random, int faultPercent) {
        this.random = random;
        this.faultPercent = faultPercent;
    }

    void afterCommit(Runnable check) {
        afterCommit = check;
    }

    void withoutFaults() {
        faultPercent = 0;
    }

    /** Runs one pending effect or answer. */
    boolean step() {
        if (pending.isEmpty()) {
            return false;
        }
        pending.remove(random.nextInt(pending.size())).run();
        return true;
    }

    Row row(String key) {
        return rows.get(key);
    }

    List<Row> range(String from, String to) {
        return List.copyOf(rows.subMap(from, to).values());
    }

    @Override
    public CompletionStage<TableResult> read(String key) {
        return request(() -> {
            Row row = rows.get(key);
            return row == null ? new TableResult.NotFound() : new TableResult.Found(row);
        });
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return request(() -> new TableResult.Rows(
                range(fromInclusive, toExclusive).stream().limit(limit).toList()));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        return request(() -> applyNow(transaction));
    }

    TableResult applyNow(Transaction transaction) {
        for (Transaction.Condition condition : transaction.conditions()) {
            Row row = rows.get(condition.key());
            if ((row == null ? 0 : row.version()) != condition.version()) {
                return new TableResult.Conflict(condition.key());
            }
        }
        transaction.writes().forEach(this::write);
        afterCommit.run();
        return new TableResult.Committed();
    }

    private void write(Transaction.Write write) {
        long version = versions.merge(write.key(), 1L, Long::sum);
        rows.remove(write.key());
        write.value().ifPresent(value -> rows.put(write.key(), new Row(write.key(), version, value)));
    }

    private CompletionStage<TableResult> request(Supplier<TableResult> effect) {
        CompletableFuture<TableResult> answer = new CompletableFuture<>();
        boolean faulty = random.nextInt(100) < faultPercent;
        int fault = faulty ? random.nextInt(3) : -1;
        if (fault >= 0) {
            pending.add(() -> answer.complete(new TableResult.Unavailable("fault " + fault)));
        }
        if (fault != 0) {
            pending.add(() -> run(effect, answer));
        }
        return answer;
    }

    private void run(Supplier<TableResult> effect, CompletableFuture<TableResult> answer) {
        TableResult result = effect.get();
        pending.add(() -> answer.complete(result));
    }
}
