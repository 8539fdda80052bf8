package org.teaselhook.node.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.RulesParser;
import org.teaselhook.core.rules.RulesText;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;

/**
 * The configuration in the table service. Each accepted change is one transaction: it requires the current version's
 * row unchanged and the operation's row absent, and writes the new current version, its text in the history and the
 * operation's row. So whatever becomes of an answer, a change is applied at most once and never over a newer version,
 * and the operation's row tells later whether it was.
 *
 * <p>Safe for use by several threads; no method blocks.
 */
public final class ConfigStore {

    private final TableService table;
    private final LongSupplier wallMillis;

    private ConfigStore(TableService table, LongSupplier wallMillis) {
        this.table = Objects.requireNonNull(table, "table is null");
        this.wallMillis = Objects.requireNonNull(wallMillis, "wallMillis is null");
    }

    // -- factories

    /**
     * Returns the configuration in a table service.
     *
     * @param table the table service
     * @param wallMillis the wall clock in epoch milliseconds, for the history's readers
     * @return the store
     */
    public static ConfigStore of(TableService table, LongSupplier wallMillis) {
        return new ConfigStore(table, wallMillis);
    }

    // -- changes

    /**
     * Replaces the rules file.
     *
     * @param expected the version that the new file was made from
     * @param text the new file
     * @param operation the operation's id, unique per change; the same again for another try
     * @param author who asks
     * @return the result, later
     */
    public CompletionStage<ApplyResult> apply(ConfigVersion expected, String text, String operation, String author) {
        List<RuleFault> faults = RulesParser.parse(text).fold(rules -> List.of(), found -> found);
        return faults.isEmpty()
                ? start(Change.replace(expected, text, operation, author))
                : CompletableFuture.completedStage(new ApplyResult.Rejected(faults));
    }

    /**
     * Edits whatever rules file is current, so that it conflicts with no other change.
     *
     * @param request what is asked, the same for each try
     * @param edit makes the new text from the current one
     * @param operation the operation's id, unique per change; the same again for another try
     * @param author who asks
     * @return the result, later
     */
    public CompletionStage<ApplyResult> edit(
            String request, UnaryOperator<RulesText> edit, String operation, String author) {
        return start(new Change(operation, author, request, Optional.empty(), edit));
    }

    private CompletionStage<ApplyResult> start(Change change) {
        return new ChangeAttempts(this, change, wallMillis).run();
    }

    // -- reads

    /**
     * Reads the current version and its text.
     *
     * @return the record, later; empty if the table service does not answer; version 0 if there is none
     */
    public CompletionStage<Optional<ConfigRecord>> current() {
        return readPointer().thenCompose(pointer -> content(pointer, ConfigPointer.none())
                .map(found -> found.version().equals(ConfigVersion.NONE)
                        ? CompletableFuture.completedStage(Optional.of(ConfigRecord.none()))
                        : readRecord(found.version()).thenApply(read -> content(read, ConfigRecord.none())))
                .orElseGet(() -> CompletableFuture.completedStage(Optional.empty())));
    }

    /**
     * Reads the newest versions of the history.
     *
     * @param limit the greatest number of versions, from 1 to 1,000
     * @return the records from old to new, later; empty if the table service does not answer
     */
    public CompletionStage<Optional<List<ConfigRecord>>> history(int limit) {
        return readPointer().thenCompose(pointer -> content(pointer, ConfigPointer.none())
                .map(found -> scanHistory(found.version(), limit))
                .orElseGet(() -> CompletableFuture.completedStage(Optional.empty())));
    }

    private CompletionStage<Optional<List<ConfigRecord>>> scanHistory(ConfigVersion newest, int limit) {
        ConfigVersion from = ConfigVersion.of(Math.max(0, newest.value() - limit + 1));
        return table.scan(ConfigKeys.history(from), ConfigKeys.history(newest.next()), limit)
                .thenApply(result -> result instanceof TableResult.Rows rows
                        ? Optional.of(rows.rows().stream()
                                .flatMap(row -> ConfigCodec.record(row).stream())
                                .toList())
                        : Optional.empty());
    }

    // -- rows

    CompletionStage<ConfigRead<ConfigPointer>> readPointer() {
        return read(ConfigKeys.CURRENT, ConfigCodec::pointer);
    }

    CompletionStage<ConfigRead<OperationRecord>> readOperation(String operation) {
        return read(ConfigKeys.operation(operation), ConfigCodec::operation);
    }

    CompletionStage<ConfigRead<ConfigRecord>> readRecord(ConfigVersion version) {
        return read(ConfigKeys.history(version), ConfigCodec::record);
    }

    TableService table() {
        return table;
    }

    private <T> CompletionStage<ConfigRead<T>> read(String key, Function<Row, Optional<T>> decode) {
        return table.read(key).thenApply(result -> ConfigRead.of(result, decode));
    }

    private static <T> Optional<T> content(ConfigRead<T> read, T absent) {
        return read instanceof ConfigRead.Value<T> value
                ? Optional.of(value.content().orElse(absent))
                : Optional.empty();
    }
}
