package org.teaselhook.node.config;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.rules.RuleFault;
import org.teaselhook.core.rules.Rules;
import org.teaselhook.core.rules.RulesDiff;
import org.teaselhook.core.rules.RulesParser;
import org.teaselhook.core.rules.RulesText;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.Transaction;

/**
 * Executes one change with a limited number of attempts. Each attempt reads the row of the current version first and
 * the operation's row second. If the operation's row is absent, no earlier attempt has taken effect on a version older
 * than the one read, and none can any more, because each attempt's transaction requires the row of the current version
 * to be unchanged since it was read.
 */
final class ChangeAttempts {

    /** Number of versions that the history retains. */
    static final long HISTORY_VERSIONS = 1_000;

    private static final int MAX_ATTEMPTS = 6;

    private final ConfigStore store;
    private final ConfigChange change;
    private final LongSupplier wallMillis;

    ChangeAttempts(ConfigStore store, ConfigChange change, LongSupplier wallMillis) {
        this.store = store;
        this.change = change;
        this.wallMillis = wallMillis;
    }

    CompletionStage<ApplyResult> run() {
        return attempt(1, "");
    }

    private CompletionStage<ApplyResult> attempt(int number, String lastFailure) {
        if (number > MAX_ATTEMPTS) {
            return completed(new ApplyResult.Unsettled(lastFailure));
        }
        return withRead(
                store.readPointer(),
                number,
                pointer -> unlessApplied(number, () -> propose(number, pointer.orElse(ConfigPointer.none()))));
    }

    /** Reads the operation's row and continues only if the operation has not been applied. */
    private CompletionStage<ApplyResult> unlessApplied(int number, NextStep next) {
        return withRead(
                store.readOperation(change.operation()),
                number,
                operation -> operation.isPresent() ? answerRepeated(number, operation.get()) : next.get());
    }

    private CompletionStage<ApplyResult> answerRepeated(int number, OperationRecord operation) {
        if (!operation.request().equals(change.request())) {
            return completed(new ApplyResult.OperationReused(operation.version()));
        }
        ConfigRecord trimmed = new ConfigRecord(operation.version(), change.operation(), change.author(), 0, "");
        return withRead(store.readRecord(operation.version()), number, read -> {
            ConfigRecord record = read.orElse(trimmed);
            boolean applied = record.operation().equals(change.operation());
            return completed(
                    applied ? new ApplyResult.Applied(record, true) : new ApplyResult.Unchanged(record.version()));
        });
    }

    private CompletionStage<ApplyResult> propose(int number, ConfigPointer pointer) {
        return withRecord(pointer.version(), number, read -> {
            if (!read.version().equals(pointer.version())) {
                return attempt(number + 1, "the text of version " + pointer.version() + " is missing");
            }
            return change.isApplicableTo(pointer.version()) ? propose(number, pointer, read) : conflict(number, read);
        });
    }

    private CompletionStage<ApplyResult> propose(int number, ConfigPointer pointer, ConfigRecord current) {
        String text = change.edit().apply(RulesText.of(current.text())).text();
        List<RuleFault> faults = RulesParser.parse(text).fold((Rules rules) -> List.of(), found -> found);
        if (!faults.isEmpty()) {
            return completed(new ApplyResult.Rejected(faults));
        }
        if (text.equals(current.text())) {
            return recordUnchanged(number, pointer);
        }
        ConfigVersion version = pointer.version().next();
        ConfigRecord record =
                new ConfigRecord(version, change.operation(), change.author(), wallMillis.getAsLong(), text);
        return store.table()
                .commit(transaction(pointer, record))
                .thenCompose(result -> onCommit(number, result, record));
    }

    /** Records the operation as done, so that no earlier attempt of it can change a later version. */
    private CompletionStage<ApplyResult> recordUnchanged(int number, ConfigPointer pointer) {
        OperationRecord operation = new OperationRecord(pointer.version(), change.request());
        Transaction marker = Transaction.empty()
                .require(ConfigKeys.CURRENT, pointer.rowVersion())
                .requireAbsent(ConfigKeys.operation(change.operation()))
                .put(ConfigKeys.operation(change.operation()), ConfigCodec.operation(operation));
        return store.table()
                .commit(marker)
                .thenCompose(result -> result instanceof TableResult.Committed
                        ? completed(new ApplyResult.Unchanged(pointer.version()))
                        : attempt(number + 1, ConfigRead.reason(result)));
    }

    private CompletionStage<ApplyResult> onCommit(int number, TableResult result, ConfigRecord record) {
        return result instanceof TableResult.Committed
                ? completed(new ApplyResult.Applied(record, false))
                : attempt(number + 1, ConfigRead.reason(result));
    }

    private Transaction transaction(ConfigPointer pointer, ConfigRecord record) {
        OperationRecord operation = new OperationRecord(record.version(), change.request());
        Transaction writes = Transaction.empty()
                .require(ConfigKeys.CURRENT, pointer.rowVersion())
                .requireAbsent(ConfigKeys.operation(change.operation()))
                .put(ConfigKeys.CURRENT, ConfigCodec.pointer(record.version(), change.operation()))
                .put(ConfigKeys.history(record.version()), ConfigCodec.record(record))
                .put(ConfigKeys.operation(change.operation()), ConfigCodec.operation(operation));
        long expiredVersion = record.version().value() - HISTORY_VERSIONS;
        return expiredVersion > 0 ? writes.delete(ConfigKeys.history(ConfigVersion.of(expiredVersion))) : writes;
    }

    private CompletionStage<ApplyResult> conflict(int number, ConfigRecord winner) {
        ConfigVersion expected = change.expected().orElse(ConfigVersion.NONE);
        return withRecord(expected, number, base -> {
            RulesDiff difference = RulesDiff.between(RulesText.of(base.text()), RulesText.of(winner.text()));
            return completed(new ApplyResult.Conflict(winner, difference));
        });
    }

    // -- reads

    private interface NextStep {
        CompletionStage<ApplyResult> get();
    }

    private <T> CompletionStage<ApplyResult> withRead(
            CompletionStage<ConfigRead<T>> pendingRead,
            int number,
            Function<Optional<T>, CompletionStage<ApplyResult>> next) {
        return pendingRead.thenCompose(read -> read instanceof ConfigRead.Value<T> value
                ? next.apply(value.content())
                : attempt(number + 1, ((ConfigRead.Failed<T>) read).reason()));
    }

    private CompletionStage<ApplyResult> withRecord(
            ConfigVersion version, int number, Function<ConfigRecord, CompletionStage<ApplyResult>> next) {
        if (version.equals(ConfigVersion.NONE)) {
            return next.apply(ConfigRecord.none());
        }
        return withRead(store.readRecord(version), number, record -> next.apply(record.orElse(ConfigRecord.none())));
    }

    private static CompletionStage<ApplyResult> completed(ApplyResult result) {
        return CompletableFuture.completedStage(result);
    }
}
