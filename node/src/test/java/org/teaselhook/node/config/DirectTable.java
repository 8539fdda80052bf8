package org.teaselhook.node.config;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.teaselhook.core.table.InMemoryTable;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/** In-memory table service that completes each request immediately. */
public final class DirectTable implements TableService {

    private final InMemoryTable rows = InMemoryTable.empty();

    @Override
    public CompletionStage<TableResult> read(String key) {
        return CompletableFuture.completedFuture(rows.read(key));
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return CompletableFuture.completedFuture(rows.scan(fromInclusive, toExclusive, limit));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        return CompletableFuture.completedFuture(rows.commit(transaction));
    }
}
