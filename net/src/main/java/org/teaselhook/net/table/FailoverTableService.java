package org.teaselhook.net.table;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.core.table.Transaction;

/**
 * A table service that is reached under several addresses. Calls go to one address until it does not answer, then to
 * the next. The call that was not answered is not sent again, since a transaction may have taken effect. Safe for use
 * by several threads.
 */
public final class FailoverTableService implements TableService {

    private final List<TableService> addresses;
    private final AtomicInteger current = new AtomicInteger();

    private FailoverTableService(List<? extends TableService> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    // -- factories

    /**
     * Returns a table service under several addresses.
     *
     * @param addresses a client for each address, at least one
     * @return the table service; the only client if there is one
     * @throws IllegalArgumentException if there is none
     */
    public static TableService of(List<? extends TableService> addresses) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses is empty");
        }
        return addresses.size() == 1 ? addresses.get(0) : new FailoverTableService(addresses);
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

    private CompletionStage<TableResult> call(Function<TableService, CompletionStage<TableResult>> request) {
        int index = current.get();
        return request.apply(addresses.get(index)).thenApply(result -> {
            if (result instanceof TableResult.Unavailable) {
                current.compareAndSet(index, (index + 1) % addresses.size());
            }
            return result;
        });
    }
}
