package org.teaselhook.node.frame;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executor;

import org.teaselhook.node.control.ControlLoop;

/**
 * The connections of a control thread that have messages to write. Messages sent within one iteration of its loop
 * share one write per connection, as on a small VM a wake-up and a system call cost more than a message itself.
 * Confined to the control thread.
 */
public final class Outbox {

    private final Executor control;
    private List<FrameConnection<?>> pending = new ArrayList<>();

    private Outbox(Executor control) {
        this.control = Objects.requireNonNull(control, "control is null");
    }

    // -- factories

    /**
     * Returns an outbox that is flushed at the end of each iteration of a loop.
     *
     * @param loop the control thread
     * @return a new outbox
     */
    public static Outbox of(ControlLoop loop) {
        Outbox outbox = new Outbox(loop);
        loop.afterIteration(outbox::flush);
        return outbox;
    }

    // -- called by connections

    void add(FrameConnection<?> connection) {
        pending.add(connection);
    }

    void scheduleFlush(FrameConnection<?> connection) {
        control.execute(() -> add(connection));
    }

    private void flush() {
        if (!pending.isEmpty()) {
            List<FrameConnection<?>> due = pending;
            pending = new ArrayList<>();
            due.forEach(FrameConnection::flush);
        }
    }
}
