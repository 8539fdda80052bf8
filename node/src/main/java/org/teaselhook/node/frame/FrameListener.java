package org.teaselhook.node.frame;

import java.util.List;

import com.google.protobuf.MessageLite;

/**
 * Told what happens on a connection. Called on the connection's traffic thread.
 *
 * @param <R> the messages received
 * @param <S> the messages sent
 */
public interface FrameListener<R extends MessageLite, S extends MessageLite> {

    /**
     * Takes the messages of one read, in the order in which they were sent.
     *
     * @param connection the connection
     * @param messages at least one message
     */
    void received(FrameConnection<S> connection, List<R> messages);

    /**
     * Notes that the connection has ended, or was never made. Nothing follows.
     *
     * @param connection the connection
     * @param reason why, for the log
     */
    void ended(FrameConnection<S> connection, String reason);
}
