package org.teaselhook.node.job;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameListener;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/**
 * Passes agents' reports to the control thread, and answers heartbeats on the I/O thread: agents stop the runs of an
 * entry that does not answer, and an entry with a long backlog must not be taken for a failed one. While the control
 * thread itself is stalled, or has yet to stop the runs of a caller that has left, heartbeats wait for it.
 */
final class AgentStreamListener implements FrameListener<RunReport, RunCommand> {

    /**
     * Time since the control thread's last tick at which it counts as stalled, in ns. It may have answered a caller
     * since without having stopped its runs, which agents let go on after each answer to a heartbeat.
     */
    private static final long CONTROL_STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final ControlLoop control;
    private final RunSessions sessions;
    private final CallerExits exits;
    private volatile long lastTickAt;

    AgentStreamListener(ControlLoop control, RunSessions sessions, CallerExits exits) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.exits = Objects.requireNonNull(exits, "exits is null");
        this.lastTickAt = control.nowNanos();
    }

    /** Records that the control thread is running. */
    void tick(long nowNanos) {
        lastTickAt = nowNanos;
    }

    @Override
    public void received(FrameConnection<RunCommand> stream, List<RunReport> reports) {
        long nowNanos = control.nowNanos();
        boolean heartbeatsAnswered = exits.areHandled() && nowNanos - lastTickAt < CONTROL_STALL_NANOS;
        if (heartbeatsAnswered) {
            reports.forEach(report -> sessions.replyTo(report).ifPresent(pulse -> stream.reply(nowNanos, pulse)));
        }
        control.execute(() -> sessions.received(control.nowNanos(), stream, reports, heartbeatsAnswered));
    }

    @Override
    public void ended(FrameConnection<RunCommand> stream, String reason) {
        control.execute(() -> sessions.streamEnded(control.nowNanos(), stream, reason));
    }
}
