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
 * The configuration in the table service. Each accepted change is one transaction: it requires that the row of the
 * current version is unchanged and that the operation's row is absent, and writes the new current version, its text in
 * the history and the operation's row. So a change is applied at most once and never over a newer version, even if an
 * answer is lost, and the operation's row later shows whether it was applied.
 *
 * <p>Thread-safe; no method blocks.
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
     * Returns the store in a table service.
     *
     * @param table the table service
     * @param wallMillis the wall clock in epoch milliseconds, for the timestamps of the history
     * @return the store
     */
    public static ConfigStore of(TableService table, LongSupplier wallMillis) {
        return new ConfigStore(table, wallMillis);
    }

    // -- changes

    /**
     * Replaces the rules file.
     *
     * @param expected the version that the new file is based on
     * @param text the new file
     * @param operation the operation's id, unique per change; the same id for each retry
     * @param author the operator
     * @return completes with the result
     */
    public CompletionStage<ApplyResult> apply(ConfigVersion expected, String text, String operation, String author) {
        List<RuleFault> faults = RulesParser.parse(text).fold(rules -> List.of(), found -> found);
        return faults.isEmpty()
                ? execute(ConfigChange.replace(expected, text, operation, author))
                : CompletableFuture.completedStage(new ApplyResult.Rejected(faults));
    }

    /**
     * Edits the current rules file, whatever its version, so that the edit does not conflict with other changes.
     *
     * @param request describes the request; the same for each retry
     * @param edit derives the new text from the current one
     * @param operation the operation's id, unique per change; the same id for each retry
     * @param author the operator
     * @return completes with the result
     */
    public CompletionStage<ApplyResult> edit(
            String request, UnaryOperator<RulesText> edit, String operation, String author) {
        return execute(new ConfigChange(operation, author, request, Optional.empty(), edit));
    }

    private CompletionStage<ApplyResult> execute(ConfigChange change) {
        return new ChangeAttempts(this, change, wallMillis).run();
    }

    // -- reads

    /**
     * Reads the current version and its text.
     *
     * @return completes with the record, empty if the table service does not answer; version 0 if there is none
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
     * @param limit the maximum number of versions, from 1 to 1,000
     * @return completes with the records from old to new, empty if the table service does not answer
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

    private static <T> Optional<T> content(ConfigRead<T> read, T defaultContent) {
        return read instanceof ConfigRead.Value<T> value
                ? Optional.of(value.content().orElse(defaultContent))
                : Optional.empty();
    }
}
