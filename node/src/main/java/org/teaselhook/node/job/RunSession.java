package org.teaselhook.node.job;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.wire.RunCommand;

/**
 * The connection of one agent.
 */
final class RunSession {

    /** Interval at which an unchanged list of entries is sent again, in ns: agents keep their addresses for 60 s. */
    private static final long ENTRIES_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Incarnation agent;
    private final String name;
    private final FrameConnection<RunCommand> stream;
    private long lastAgentNanos;
    private long lastStateAt;
    private Optional<String> lastSpec = Optional.empty();
    private List<String> lastEntries = List.of();
    private long lastEntriesAt;

    RunSession(Incarnation agent, String name, FrameConnection<RunCommand> stream, long nowNanos) {
        this.agent = agent;
        this.name = name;
        this.stream = stream;
        this.lastStateAt = nowNanos;
    }

    // -- accessors

    Incarnation agent() {
        return agent;
    }

    String name() {
        return name;
    }

    FrameConnection<RunCommand> stream() {
        return stream;
    }

    /** Returns the time of the agent's last state report, on its own clock. */
    long lastAgentNanos() {
        return lastAgentNanos;
    }

    /** Returns when the last state report was processed or the last heartbeat answered, whichever is later. */
    long lastContactAt() {
        return Math.max(lastStateAt, stream.lastReplyAt());
    }

    /** Converts an instant to the agent's clock; the result is never later than the true time. */
    long toAgentClock(long instantNanos) {
        return lastAgentNanos + instantNanos - lastStateAt;
    }

    /** Returns the entries to send to the agent now: none if the same ones were sent within the interval. */
    List<String> entriesToSend(long nowNanos, List<String> live) {
        if (live.equals(lastEntries) && nowNanos - lastEntriesAt < ENTRIES_INTERVAL_NANOS) {
            return List.of();
        }
        lastEntries = live;
        lastEntriesAt = nowNanos;
        return live;
    }

    /** Records the spec of an order to be sent, and tells whether the previous order had the same. */
    boolean repeatsSpec(String spec) {
        boolean repeats = lastSpec.filter(spec::equals).isPresent();
        lastSpec = Optional.of(spec);
        return repeats;
    }

    // -- updates

    void recordState(long nowNanos, long newAgentNanos) {
        lastAgentNanos = newAgentNanos;
        lastStateAt = nowNanos;
    }

    void send(RunCommand command) {
        stream.send(command);
    }
}
