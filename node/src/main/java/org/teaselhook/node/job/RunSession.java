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

    /** How often an agent is told of all entries though none has changed, in ns: it forgets them after 60 s. */
    private static final long ENTRIES_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Incarnation agent;
    private final String name;
    private final FrameConnection<RunCommand> stream;
    private long agentNanos;
    private long heardAt;
    private Optional<String> specSent = Optional.empty();
    private List<String> entriesSent = List.of();
    private long entriesSentAt;

    RunSession(Incarnation agent, String name, FrameConnection<RunCommand> stream, long nowNanos) {
        this.agent = agent;
        this.name = name;
        this.stream = stream;
        this.heardAt = nowNanos;
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

    /** The newest time that the agent has told, on its own clock. */
    long agentNanos() {
        return agentNanos;
    }

    long heardAt() {
        return heardAt;
    }

    /** Converts an instant to the agent's clock; never later than the true time. */
    long onAgentClock(long instantNanos) {
        return agentNanos + instantNanos - heardAt;
    }

    /** Returns the entries that the agent is to be told of now: none while it was told the same of late. */
    List<String> takeEntries(long nowNanos, List<String> live) {
        if (live.equals(entriesSent) && nowNanos - entriesSentAt < ENTRIES_NANOS) {
            return List.of();
        }
        entriesSent = live;
        entriesSentAt = nowNanos;
        return live;
    }

    /** Notes the spec of an order that is sent now, and tells whether the order before had the same. */
    boolean repeatsSpec(String spec) {
        boolean repeats = specSent.filter(spec::equals).isPresent();
        specSent = Optional.of(spec);
        return repeats;
    }

    // -- updates

    void heard(long nowNanos, long newAgentNanos) {
        agentNanos = newAgentNanos;
        heardAt = nowNanos;
    }

    void send(RunCommand command) {
        stream.send(command);
    }
}
