package org.teaselhook.node.frame;

import java.util.List;

import com.google.protobuf.MessageLite;

/** Ignores all events of a connection. */
public final class IgnoringListener<R extends MessageLite, S extends MessageLite> implements FrameListener<R, S> {

    @Override
    public void received(FrameConnection<S> connection, List<R> messages) {
        // Nothing is expected.
    }

    @Override
    public void ended(FrameConnection<S> connection, String reason) {
        // Nothing is expected.
    }
}
