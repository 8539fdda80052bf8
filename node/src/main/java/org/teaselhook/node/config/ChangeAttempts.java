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
 * The attempts to make one change. Each attempt reads the current version first and the operation's row after it. If
 * the operation's row is absent then, no earlier attempt has taken effect on an older version than the one read, nor
 * can it any more, since each attempt requires the row of the version that it read to be unchanged.
 */
final class ChangeAttempts {

    /** How many versions the history keeps. */
    static final long HISTORY_VERSIONS = 1_000;

    private static final int MAX_ATTEMPTS = 6;

    private final ConfigStore store;
    private final Change change;
    private final LongSupplier wallMillis;

    ChangeAttempts(ConfigStore store, Change change, LongSupplier wallMillis) {
        this.store = store;
        this.change = change;
        this.wallMillis = wallMillis;
    }

    CompletionStage<ApplyResult> run() {
        return attempt(1, "");
    }

    private CompletionStage<ApplyResult> attempt(int number, String lastFailure) {
        if (number > MAX_ATTEMPTS) {
            return done(new ApplyResult.Unsettled(lastFailure));
        }
        return with(
                store.readPointer(),
                number,
                pointer -> settle(number, () -> propose(number, pointer.orElse(ConfigPointer.none()))));
    }

    /** Reads the operation's row, and goes on only if the operation has not been applied. */
    private CompletionStage<ApplyResult> settle(int number, Next next) {
        return with(
                store.readOperation(change.operation()),
                number,
                operation -> operation.isPresent() ? repeated(number, operation.get()) : next.get());
    }

    private CompletionStage<ApplyResult> repeated(int number, OperationRecord operation) {
        if (!operation.request().equals(change.request())) {
            return done(new ApplyResult.OperationReused(operation.version()));
        }
        ConfigRecord dropped = new ConfigRecord(operation.version(), change.operation(), change.author(), 0, "");
        return with(store.readRecord(operation.version()), number, read -> {
            ConfigRecord record = read.orElse(dropped);
            boolean changed = record.operation().equals(change.operation());
            return done(changed ? new ApplyResult.Applied(record, true) : new ApplyResult.Unchanged(record.version()));
        });
    }

    private CompletionStage<ApplyResult> propose(int number, ConfigPointer pointer) {
        return withRecord(pointer.version(), number, read -> {
            if (!read.version().equals(pointer.version())) {
                return attempt(number + 1, "the text of version " + pointer.version() + " is missing");
            }
            return change.mayBuildOn(pointer.version()) ? propose(number, pointer, read) : conflict(number, read);
        });
    }

    private CompletionStage<ApplyResult> propose(int number, ConfigPointer pointer, ConfigRecord current) {
        String text = change.edit().apply(RulesText.of(current.text())).text();
        List<RuleFault> faults = RulesParser.parse(text).fold((Rules rules) -> List.of(), found -> found);
        if (!faults.isEmpty()) {
            return done(new ApplyResult.Rejected(faults));
        }
        if (text.equals(current.text())) {
            return unchanged(number, pointer);
        }
        ConfigVersion version = pointer.version().next();
        ConfigRecord record =
                new ConfigRecord(version, change.operation(), change.author(), wallMillis.getAsLong(), text);
        return store.table()
                .commit(transaction(pointer, record))
                .thenCompose(result -> committed(number, result, record));
    }

    /** Records that the operation is done, so that no earlier try of it can change a later version. */
    private CompletionStage<ApplyResult> unchanged(int number, ConfigPointer pointer) {
        OperationRecord operation = new OperationRecord(pointer.version(), change.request());
        Transaction done = Transaction.empty()
                .require(ConfigKeys.CURRENT, pointer.rowVersion())
                .requireAbsent(ConfigKeys.operation(change.operation()))
                .put(ConfigKeys.operation(change.operation()), ConfigCodec.operation(operation));
        return store.table()
                .commit(done)
                .thenCompose(result -> result instanceof TableResult.Committed
                        ? done(new ApplyResult.Unchanged(pointer.version()))
                        : attempt(number + 1, ConfigRead.reason(result)));
    }

    private CompletionStage<ApplyResult> committed(int number, TableResult result, ConfigRecord record) {
        return result instanceof TableResult.Committed
                ? done(new ApplyResult.Applied(record, false))
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
        long dropped = record.version().value() - HISTORY_VERSIONS;
        return dropped > 0 ? writes.delete(ConfigKeys.history(ConfigVersion.of(dropped))) : writes;
    }

    private CompletionStage<ApplyResult> conflict(int number, ConfigRecord winner) {
        ConfigVersion expected = change.expected().orElse(ConfigVersion.NONE);
        return withRecord(expected, number, base -> {
            RulesDiff difference = RulesDiff.between(RulesText.of(base.text()), RulesText.of(winner.text()));
            return done(new ApplyResult.Conflict(winner, difference));
        });
    }

    // -- reads

    private interface Next {
        CompletionStage<ApplyResult> get();
    }

    private <T> CompletionStage<ApplyResult> with(
            CompletionStage<ConfigRead<T>> reading,
            int number,
            Function<Optional<T>, CompletionStage<ApplyResult>> next) {
        return reading.thenCompose(read -> read instanceof ConfigRead.Value<T> value
                ? next.apply(value.content())
                : attempt(number + 1, ((ConfigRead.Failed<T>) read).reason()));
    }

    private CompletionStage<ApplyResult> withRecord(
            ConfigVersion version, int number, Function<ConfigRecord, CompletionStage<ApplyResult>> next) {
        if (version.equals(ConfigVersion.NONE)) {
            return next.apply(ConfigRecord.none());
        }
        return with(store.readRecord(version), number, record -> next.apply(record.orElse(ConfigRecord.none())));
    }

    private static CompletionStage<ApplyResult> done(ApplyResult result) {
        return CompletableFuture.completedStage(result);
    }
}
