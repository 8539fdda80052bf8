package org.teaselhook.net.table;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A client of one table service that has several addresses: calls go to one address until it is unavailable, then fail
 * over to the next. No call is retried here, since a transaction without an answer may have taken effect. Thread-safe.
 */
public final class FailoverTableService implements TableService {

    private final List<TableService> addresses;
    private final AtomicInteger currentIndex = new AtomicInteger();

    private FailoverTableService(List<TableService> addresses) {
        this.addresses = addresses;
    }

    /**
     * Returns a client that uses all addresses.
     *
     * @param addresses a client for each address of the table service, at least one
     * @return the client
     * @throws IllegalArgumentException if the list is empty
     */
    public static FailoverTableService of(List<? extends TableService> addresses) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses is empty");
        }
        return new FailoverTableService(List.copyOf(addresses));
    }

    // -- calls

    @Override
    public CompletionStage<TableResult> read(String key) {
        return call(table -> table.read(key));
    }

    @Override
    public CompletionStage<TableResult> scan(String fromInclusive, String toExclusive, int limit) {
        return call(table -> table.scan(fromInclusive, toExclusive, limit));
    }

    @Override
    public CompletionStage<TableResult> commit(Transaction transaction) {
        return call(table -> table.commit(transaction));
    }

    private CompletionStage<TableResult> call(Function<TableService, CompletionStage<TableResult>> operation) {
        int index = currentIndex.get();
        return operation.apply(addresses.get(index)).thenApply(result -> {
            if (result instanceof TableResult.Unavailable) {
                currentIndex.compareAndSet(index, (index + 1) % addresses.size());
            }
            return result;
        });
    }
}
