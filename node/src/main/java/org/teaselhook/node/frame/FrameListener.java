package org.teaselhook.node.frame;

import java.util.List;

import com.google.protobuf.MessageLite;

/**
 * Receives the events of a connection. Called on the connection's I/O thread.
 *
 * @param <R> the messages received
 * @param <S> the messages sent
 */
public interface FrameListener<R extends MessageLite, S extends MessageLite> {

    /**
     * Receives the messages of one read, in the order in which they were sent.
     *
     * @param connection the connection
     * @param messages at least one message
     */
    void received(FrameConnection<S> connection, List<R> messages);

    /**
     * Receives the end of the connection, or the failure to open it. No event follows.
     *
     * @param connection the connection
     * @param reason the reason, for the log
     */
    void ended(FrameConnection<S> connection, String reason);
}
