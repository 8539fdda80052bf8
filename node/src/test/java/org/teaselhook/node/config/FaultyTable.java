package org.teaselhook.node.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;

import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * In-memory table service that executes and answers requests one at a time in random order. Some requests are answered
 * as unavailable, either before or after they take effect, or without ever taking effect.
 */
final class FaultyTable implements TableService {

    private static final int MAX_ROWS = 1_000;

    private final InMemoryTable rows = InMemoryTable.empty();
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

    /** Executes or answers one pending request; returns false if none is pending. */
    boolean step() {
        if (pending.isEmpty()) {
            return false;
        }
        pending.remove(random.nextInt(pending.size())).run();
        return true;
    }

    Row row(String key) {
        return ((TableResult.Found) rows.read(key)).row();
    }

    List<Row> range(String from, String to) {
        return ((TableResult.Rows) rows.scan(from, to, MAX_ROWS)).rows();
    }

    @Override
    public CompletionStage<TableResult> read(String key) {
        return request(() -> rows.read(key));
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return request(() -> rows.scan(fromInclusive, toExclusive, limit));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        return request(() -> commitRows(transaction));
    }

    private TableResult commitRows(Transaction transaction) {
        TableResult result = rows.commit(transaction);
        if (result instanceof TableResult.Committed) {
            afterCommit.run();
        }
        return result;
    }

    private CompletionStage<TableResult> request(Supplier<TableResult> operation) {
        CompletableFuture<TableResult> answer = new CompletableFuture<>();
        boolean faulty = random.nextInt(100) < faultPercent;
        int fault = faulty ? random.nextInt(3) : -1;
        if (fault >= 0) {
            pending.add(() -> answer.complete(new TableResult.Unavailable("fault " + fault)));
        }
        if (fault != 0) {
            pending.add(() -> run(operation, answer));
        }
        return answer;
    }

    private void run(Supplier<TableResult> operation, CompletableFuture<TableResult> answer) {
        TableResult result = operation.get();
        pending.add(() -> answer.complete(result));
    }
}
