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
 * Follows the configuration in the table service: reads the small row that names the current version about once a
 * second, and a version's text only when it is new. Confined to the control thread, to which answers are handed.
 */
public final class ConfigPoller {

    private static final long MIN_INTERVAL_NANOS = 800_000_000L;
    private static final long MAX_INTERVAL_NANOS = 1_200_000_000L;
    private static final long ANSWER_WAIT_NANOS = 1_500_000_000L;

    private final TableService table;
    private final ConfigHolder holder;
    private final Freshness freshness;
    private final Executor control;
    private final RandomGenerator random;
    private boolean started;
    private boolean waiting;
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
     * @param holder takes new versions
     * @param freshness told of each read
     * @param control runs on the control thread
     * @param random spreads the reads of several processes
     * @return the poller
     */
    public static ConfigPoller of(
            TableService table, ConfigHolder holder, Freshness freshness, Executor control, RandomGenerator random) {
        return new ConfigPoller(table, holder, freshness, control, random);
    }

    // -- events

    /**
     * Sends a read if one is due. To be called several times a second.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        boolean due = !started || dueNanos - nowNanos <= 0;
        boolean stillWaiting = waiting && nowNanos - sentNanos < ANSWER_WAIT_NANOS;
        if (due && !stillWaiting) {
            poll(nowNanos);
        }
    }

    /**
     * Sends a read at once.
     *
     * @param nowNanos the present time
     */
    public void poll(long nowNanos) {
        started = true;
        waiting = true;
        sentNanos = nowNanos;
        dueNanos = nowNanos + random.nextLong(MIN_INTERVAL_NANOS, MAX_INTERVAL_NANOS);
        reads++;
        table.read(ConfigKeys.CURRENT).thenAccept(result -> control.execute(() -> onPointer(result, nowNanos)));
    }

    private void onPointer(TableResult result, long askedNanos) {
        waiting = waiting && sentNanos != askedNanos;
        count(result);
        ConfigRead<ConfigPointer> read = ConfigRead.of(result, ConfigCodec::pointer);
        if (read instanceof ConfigRead.Value<ConfigPointer> value) {
            onVersion(value.content().orElse(ConfigPointer.none()).version(), askedNanos);
        } else {
            onFailure(((ConfigRead.Failed<ConfigPointer>) read).reason());
        }
    }

    private void onVersion(ConfigVersion version, long askedNanos) {
        ConfigState state = holder.state();
        state.noteVersion(version);
        if (state.version().isOlderThan(version)) {
            reads++;
            table.read(ConfigKeys.history(version))
                    .thenAccept(result -> control.execute(() -> onText(result, version, askedNanos)));
            return;
        }
        onConfirmed(version, askedNanos);
    }

    private void onText(TableResult result, ConfigVersion version, long askedNanos) {
        count(result);
        ConfigRead<ConfigRecord> read = ConfigRead.of(result, ConfigCodec::record);
        if (!(read instanceof ConfigRead.Value<ConfigRecord> value)
                || value.content().isEmpty()) {
            onFailure("the text of version " + version + " could not be read");
            return;
        }
        ConfigRecord record = value.content().get();
        ConfigOfferResult offer = holder.offer(record.version(), record.text(), record.operation());
        if (offer != ConfigOfferResult.CONTRADICTS) {
            onConfirmed(version, askedNanos);
        }
    }

    private void onConfirmed(ConfigVersion version, long askedNanos) {
        freshness.tableRead(holder.state(), version, askedNanos);
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

    private void count(TableResult result) {
        if (result instanceof TableResult.Found found) {
            Row row = found.row();
            bytes += row.key().length() + row.value().length;
        }
    }

    // -- accessors

    /**
     * Tells whether the last read was answered.
     *
     * @return true if the table service is reached
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
     * Returns the size of rows received.
     *
     * @return the bytes of keys and values since the start
     */
    public long bytes() {
        return bytes;
    }
}
