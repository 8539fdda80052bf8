package org.teaselhook.node.frame;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;

import org.teaselhook.node.control.ControlLoop;

/**
 * The connections of a control thread on which something is to be written. What is sent within one turn of the thread
 * leaves in one write per connection: on a small VM a wake-up and a system call cost more than the message itself.
 * Confined to the control thread.
 */
public final class Outbox {

    private final Executor control;
    private List<FrameConnection<?>> waiting = new ArrayList<>();

    private Outbox(Executor control) {
        this.control = Objects.requireNonNull(control, "control is null");
    }

    // -- factories

    /**
     * Returns an outbox that a loop empties at the end of each turn.
     *
     * @param loop the control thread
     * @return a new outbox
     */
    public static Outbox of(ControlLoop loop) {
        Outbox outbox = new Outbox(loop);
        loop.afterIteration(outbox::flush);
        return outbox;
    }

    // -- used by connections

    void add(FrameConnection<?> connection) {
        waiting.add(connection);
    }

    void flushSoon(FrameConnection<?> connection) {
        control.execute(() -> add(connection));
    }

    private void flush() {
        if (!waiting.isEmpty()) {
            List<FrameConnection<?>> due = waiting;
            waiting = new ArrayList<>();
            due.forEach(FrameConnection::flush);
        }
    }
}
