package org.teaselhook.core.table;

import java.util.List;
import java.util.NavigableMap;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An in-memory table with transactions. Every write to any row, including a deletion, increments the version counter
 * that all rows share, so the version of a row also rises across its deletion. Thread-safe.
 */
public final class InMemoryTable {

    private final NavigableMap<String, Row> rows = new TreeMap<>();
    private long lastVersion;

    private InMemoryTable() {}

    // -- factories

    /**
     * Returns a table without rows.
     *
     * @return the table
     */
    public static InMemoryTable empty() {
        return new InMemoryTable();
    }

    // -- operations

    /**
     * Reads one row.
     *
     * @param key the row's key
     * @return {@link TableResult.Found} or {@link TableResult.NotFound}
     */
    public synchronized TableResult read(String key) {
        Row row = rows.get(Objects.requireNonNull(key, "key is null"));
        return row == null ? new TableResult.NotFound() : new TableResult.Found(row);
    }

    /**
     * Reads rows in key order.
     *
     * @param fromInclusive the first key
     * @param toExclusive the end of the key range
     * @param limit the maximum number of rows
     * @return the rows
     */
    public synchronized TableResult scan(String fromInclusive, String toExclusive, int limit) {
        if (fromInclusive.compareTo(toExclusive) >= 0) {
            return new TableResult.Rows(List.of());
        }
        return new TableResult.Rows(rows.subMap(fromInclusive, toExclusive).values().stream()
                .limit(limit)
                .toList());
    }

    /**
     * Applies all writes if every condition holds, and none otherwise.
     *
     * @param transaction the conditions and writes
     * @return {@link TableResult.Committed} or {@link TableResult.Conflict}
     */
    public synchronized TableResult commit(Transaction transaction) {
        Optional<String> conflict = transaction.conditions().stream()
                .filter(condition -> version(condition.key()) != condition.version())
                .map(Transaction.Condition::key)
                .findFirst();
        if (conflict.isPresent()) {
            return new TableResult.Conflict(conflict.get());
        }
        transaction.writes().forEach(this::apply);
        return new TableResult.Committed();
    }

    // -- accessors

    /**
     * Returns the number of rows.
     *
     * @return the number of rows
     */
    public synchronized int size() {
        return rows.size();
    }

    private long version(String key) {
        Row row = rows.get(key);
        return row == null ? Transaction.ABSENT_VERSION : row.version();
    }

    private void apply(Transaction.Write write) {
        lastVersion++;
        write.value()
                .ifPresentOrElse(
                        value -> rows.put(write.key(), new Row(write.key(), lastVersion, value)),
                        () -> rows.remove(write.key()));
    }
}
