package org.teaselhook.core.claim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.Transaction;

/**
 * The floor and tail rows of all shards, read in one scan.
 */
final class LogBounds {

    static final int MAX_ROWS = 2 * Shards.COUNT;

    private final Map<String, Row> rows;

    private LogBounds(Map<String, Row> rows) {
        this.rows = rows;
    }

    static LogBounds of(List<Row> rows) {
        return new LogBounds(rows.stream().collect(Collectors.toMap(Row::key, Function.identity())));
    }

    static TableCall scan() {
        return new TableCall.Scan(LogKeys.BOUNDS_FROM, LogKeys.BOUNDS_TO, MAX_ROWS);
    }

    /** Tells whether a process that read a shard up to {@code next}, at the given floor version, is up to date. */
    boolean matches(LogKeys keys, long floorVersion, long next) {
        long version = find(keys.floor()).map(Row::version).orElse(Transaction.ABSENT_VERSION);
        long tail = find(keys.tail())
                .map(row -> LogKeys.decode(row.value()).orElse(Long.MAX_VALUE))
                .orElse(0L);
        return version == floorVersion && tail <= next;
    }

    private Optional<Row> find(String key) {
        return Optional.ofNullable(rows.get(key));
    }
}
