package org.teaselhook.bench.history;

import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;

/** Collects events during a run. Thread-safe. */
public final class HistoryRecorder {

    private final Queue<HistoryEvent> events = new ConcurrentLinkedQueue<>();
    private final LongSupplier clock;

    private HistoryRecorder(LongSupplier clock) {
        this.clock = Objects.requireNonNull(clock, "clock is null");
    }

    // -- factories

    /**
     * Returns an empty recorder.
     *
     * @param clock the run's monotonic clock, in nanoseconds
     * @return the recorder
     */
    public static HistoryRecorder of(LongSupplier clock) {
        return new HistoryRecorder(clock);
    }

    // -- recording

    /**
     * Returns the current time.
     *
     * @return nanoseconds on the run's clock
     */
    public long nowNanos() {
        return clock.getAsLong();
    }

    /**
     * Adds an event.
     *
     * @param event the event
     */
    public void record(HistoryEvent event) {
        events.add(event);
    }

    /**
     * Returns the events recorded so far.
     *
     * @return the history
     */
    public History history() {
        return History.of(List.copyOf(events));
    }
}
