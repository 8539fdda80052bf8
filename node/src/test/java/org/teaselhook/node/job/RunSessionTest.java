package org.teaselhook.node.job;

import java.net.InetSocketAddress;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.net.http.EventLoops;
import org.teaselhook.node.control.ControlLoop;
import org.teaselhook.node.frame.FrameConnection;
import org.teaselhook.node.frame.FrameDialer;
import org.teaselhook.node.frame.FrameProtocol;
import org.teaselhook.node.frame.IgnoringListener;
import org.teaselhook.node.frame.Outbox;
import org.teaselhook.wire.RunCommand;
import org.teaselhook.wire.RunReport;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public class RunSessionTest {

    @Test
    public void shouldSendSpecOnceForConsecutiveOrders() {
        RunSession session = session();
        assertFalse(session.repeatsSpec("one"));
        assertTrue(session.repeatsSpec("one"));
        assertFalse(session.repeatsSpec("two"));
        assertFalse(session.repeatsSpec("one"), "the agent keeps only the last spec");
    }

    /** Agents rely on the heartbeats that the I/O thread answers, however late the control thread processes them. */
    @Test
    public void shouldCountHeartbeatAnsweredOnIoThreadAsContact() {
        RunSession session = session();
        session.recordState(100, 1);
        assertEquals(session.lastContactAt(), 100);

        session.stream().reply(250, RunCommand.getDefaultInstance());
        assertEquals(session.lastContactAt(), 250);
        session.recordState(300, 2);
        assertEquals(session.lastContactAt(), 300);
    }

    private static RunSession session() {
        try (EventLoops loops = EventLoops.of(1);
                ControlLoop control = ControlLoop.start("test", System::nanoTime, failure -> {})) {
            FrameConnection<RunCommand> connection = FrameDialer.<RunReport, RunCommand>of(
                            loops, Outbox.of(control), new FrameProtocol<>(RunReport.parser(), 1_000), 100)
                    .dial(new InetSocketAddress("127.0.0.1", 1), new IgnoringListener<>());
            return new RunSession(Incarnation.of(1), "agent", connection, 0);
        }
    }
}
