package org.teaselhook.node.job;

import java.util.List;
import java.util.Objects;

import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameListener;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/**
 * Hands what agents send to the control thread.
 */
final class AgentStreams implements FrameListener<RunReport, RunCommand> {

    private final ControlLoop control;
    private final RunSessions sessions;

    AgentStreams(ControlLoop control, RunSessions sessions) {
        this.control = Objects.requireNonNull(control, "control is null");
        this.sessions = Objects.requireNonNull(sessions, "sessions is null");
    }

    @Override
    public void received(FrameConnection<RunCommand> stream, List<RunReport> reports) {
        control.execute(() -> sessions.received(control.nowNanos(), stream, reports));
    }

    @Override
    public void ended(FrameConnection<RunCommand> stream, String reason) {
        control.execute(() -> sessions.ended(control.nowNanos(), stream, reason));
    }
}
