package org.teaselhook.node.config;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;

import org.teaselhook.core.config.ConfigOfferResult;
import org.teaselhook.core.config.ConfigState;
import org.teaselhook.core.config.ConfigVersion;
import org.teaselhook.core.config.Freshness;
import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;
import org.teaselhook.core.table.TableService;
import org.teaselhook.net.log.LogLine;

/**
 * Polls the table service for new configuration. Reads the small row that names the current version about once a
 * second, and a version's text only if it is new. Confined to the control thread, on which answers are processed too.
 */
public final class ConfigPoller {

    private static final long MIN_INTERVAL_NANOS = 800_000_000L;
    private static final long MAX_INTERVAL_NANOS = 1_200_000_000L;
    private static final long ANSWER_TIMEOUT_NANOS = 1_500_000_000L;

    private final TableService table;
    private final ConfigHolder holder;
    private final Freshness freshness;
    private final Executor control;
    private final RandomGenerator random;
    private boolean started;
    private boolean readInFlight;
    private boolean reachable;
    private long sentNanos;
    private long dueNanos;
    private long reads;
    private long bytes;

    private ConfigPoller(
            TableService table, ConfigHolder holder, Freshness freshness, Executor control, RandomGenerator random) {
        this.table = Objects.requireNonNull(table, "table is null");
        this.holder = Objects.requireNonNull(holder, "holder is null");
        this.freshness = Objects.requireNonNull(freshness, "freshness is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.random = Objects.requireNonNull(random, "random is null");
    }

    // -- factories

    /**
     * Returns a poller that reads at its first tick.
     *
     * @param table the table service
     * @param holder receives new versions
     * @param freshness notified of each read
     * @param control the executor of the control thread
     * @param random adds jitter, so that processes do not read at the same time
     * @return the poller
     */
    public static ConfigPoller of(
            TableService table, ConfigHolder holder, Freshness freshness, Executor control, RandomGenerator random) {
        return new ConfigPoller(table, holder, freshness, control, random);
    }

    // -- events

    /**
     * Sends a read if one is due. Must be called several times a second.
     *
     * @param nowNanos the current time
     */
    public void tick(long nowNanos) {
        boolean due = !started || dueNanos - nowNanos <= 0;
        boolean awaitingAnswer = readInFlight && nowNanos - sentNanos < ANSWER_TIMEOUT_NANOS;
        if (due && !awaitingAnswer) {
            poll(nowNanos);
        }
    }

    /**
     * Sends a read immediately.
     *
     * @param nowNanos the current time
     */
    public void poll(long nowNanos) {
        started = true;
        readInFlight = true;
        sentNanos = nowNanos;
        dueNanos = nowNanos + random.nextLong(MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS);
        reads++;
        table.read(ConfigKeys.CURRENT).thenAccept(result -> control.execute(() -> onPointer(result, nowNanos)));
    }

    private void onPointer(TableResult result, long readNanos) {
        readInFlight = readInFlight && sentNanos != readNanos;
        countBytes(result);
        ConfigRead<ConfigPointer> read = ConfigRead.of(result, ConfigCodec::pointer);
        if (read instanceof ConfigRead.Value<ConfigPointer> value) {
            onVersion(value.content().orElse(ConfigPointer.none()).version(), readNanos);
        } else {
            onFailure(((ConfigRead.Failed<ConfigPointer>) read).reason());
        }
    }

    private void onVersion(ConfigVersion version, long readNanos) {
        ConfigState state = holder.state();
        state.noteVersion(version);
        if (state.version().isOlderThan(version)) {
            reads++;
            table.read(ConfigKeys.history(version))
                    .thenAccept(result -> control.execute(() -> onText(result, version, readNanos)));
            return;
        }
        onConfirmed(version, readNanos);
    }

    private void onText(TableResult result, ConfigVersion version, long readNanos) {
        countBytes(result);
        ConfigRead<ConfigRecord> read = ConfigRead.of(result, ConfigCodec::record);
        if (!(read instanceof ConfigRead.Value<ConfigRecord> value)
                || value.content().isEmpty()) {
            onFailure("the text of version " + version + " could not be read");
            return;
        }
        ConfigRecord record = value.content().get();
        ConfigOfferResult offer = holder.offer(record.version(), record.text(), record.operation());
        if (offer != ConfigOfferResult.CONTRADICTS) {
            onConfirmed(version, readNanos);
        }
    }

    private void onConfirmed(ConfigVersion version, long readNanos) {
        freshness.tableRead(holder.state(), version, readNanos);
        if (!reachable) {
            LogLine.of("config-table-reached").with("version", version).info();
        }
        reachable = true;
    }

    private void onFailure(String reason) {
        freshness.tableFailed();
        if (reachable) {
            LogLine.of("config-table-lost").with("reason", reason).warn();
        }
        reachable = false;
    }

    private void countBytes(TableResult result) {
        if (result instanceof TableResult.Found found) {
            Row row = found.row();
            bytes += row.key().length() + row.value().length;
        }
    }

    // -- accessors

    /**
     * Tells whether the table service is reachable.
     *
     * @return true if the last read was answered
     */
    public boolean isTableReachable() {
        return reachable;
    }

    /**
     * Returns the number of reads sent.
     *
     * @return the number since the start
     */
    public long reads() {
        return reads;
    }

    /**
     * Returns the total size of the rows received.
     *
     * @return the size of keys and values in bytes since the start
     */
    public long bytes() {
        return bytes;
    }
}
