package org.teaselhook.node.job;

import java.util.List;

import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameListener;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;

/** Takes no notice of what happens on a connection. */
final class IgnoringListener implements FrameListener<RunReport, RunCommand> {

    @Override
    public void received(FrameConnection<RunCommand> connection, List<RunReport> messages) {
        // Nothing is expected.
    }

    @Override
    public void ended(FrameConnection<RunCommand> connection, String reason) {
        // Nothing is expected.
    }
}
