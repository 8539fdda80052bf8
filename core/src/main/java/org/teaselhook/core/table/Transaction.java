package org.teaselhook.core.table;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Conditions and writes that are applied atomically. Immutable.
 *
 * <pre>{@code
 * Transaction.empty().requireAbsent("config/7").put("config/7", bytes)
 * }</pre>
 */
public final class Transaction {

    /** The required version of a row that must not exist. */
    public static final long ABSENT_VERSION = 0;

    private static final Transaction EMPTY = new Transaction(List.of(), List.of());

    private final List<Condition> conditions;
    private final List<Write> writes;

    private Transaction(List<Condition> conditions, List<Write> writes) {
        this.conditions = conditions;
        this.writes = writes;
    }

    /**
     * A condition on the version of a row.
     *
     * @param key the row's key
     * @param version the required version, or {@link #ABSENT_VERSION}
     */
    public record Condition(String key, long version) {}

    /**
     * A write or deletion of a row.
     *
     * @param key the row's key
     * @param value the new value, or empty to delete the row
     */
    public record Write(String key, Optional<byte[]> value) {}

    // -- factories

    /**
     * Returns the transaction without conditions and writes.
     *
     * @return the empty transaction
     */
    public static Transaction empty() {
        return EMPTY;
    }

    // -- transformations

    /**
     * Adds the condition that a row does not exist.
     *
     * @param key the row's key
     * @return a new transaction
     */
    public Transaction requireAbsent(String key) {
        return require(key, ABSENT_VERSION);
    }

    /**
     * Adds the condition that a row has a given version.
     *
     * @param key the row's key
     * @param version the version, or {@link #ABSENT_VERSION}
     * @return a new transaction
     */
    public Transaction require(String key, long version) {
        return new Transaction(append(conditions, new Condition(key, version)), writes);
    }

    /**
     * Adds a write.
     *
     * @param key the row's key
     * @param value the row's new value
     * @return a new transaction
     */
    public Transaction put(String key, byte[] value) {
        return new Transaction(conditions, append(writes, new Write(key, Optional.of(value))));
    }

    /**
     * Adds a deletion.
     *
     * @param key the row's key
     * @return a new transaction
     */
    public Transaction delete(String key) {
        return new Transaction(conditions, append(writes, new Write(key, Optional.empty())));
    }

    // -- accessors

    /**
     * Returns the conditions.
     *
     * @return the conditions in the order they were added
     */
    public List<Condition> conditions() {
        return conditions;
    }

    /**
     * Returns the writes.
     *
     * @return the writes in the order they were added
     */
    public List<Write> writes() {
        return writes;
    }

    private static <T> List<T> append(List<T> list, T item) {
        List<T> result = new ArrayList<>(list);
        result.add(Objects.requireNonNull(item, "item is null"));
        return List.copyOf(result);
    }
}
