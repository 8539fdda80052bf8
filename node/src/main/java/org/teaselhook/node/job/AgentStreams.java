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
 * Hands what agents send to the control thread, and answers their heartbeats on the traffic thread: agents stop the
 * runs of an entry that they do not hear, and one that has many callers waiting is not gone. While the control thread
 * itself stands still, heartbeats wait for it.
 */
final class AgentStreams implements FrameListener<RunReport, RunCommand> {

    /** How old the control thread's last sign of life may be, in ns: some of its ticks, less than agents bear. */
    private static final long CONTROL_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final ControlLoop control;
    private final RunSessions sessions;
    private volatile long aliveAt;

    AgentStreams(ControlLoop control, RunSessions sessions) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
        this.aliveAt = control.nowNanos();
    }

    /** A sign of life of the control thread. */
    void tick(long nowNanos) {
        aliveAt = nowNanos;
    }

    @Override
    public void received(FrameConnection<RunCommand> stream, List<RunReport> reports) {
        boolean answers = control.nowNanos() - aliveAt < CONTROL_SILENCE_NANOS;
        if (answers) {
            reports.forEach(report -> sessions.answerTo(report).ifPresent(stream::reply));
        }
        control.execute(() -> sessions.received(control.nowNanos(), stream, reports, answers));
    }

    @Override
    public void ended(FrameConnection<RunCommand> stream, String reason) {
        control.execute(() -> sessions.ended(control.nowNanos(), stream, reason));
    }
}
