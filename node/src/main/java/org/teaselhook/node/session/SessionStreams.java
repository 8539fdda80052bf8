package org.teaselhook.node.session;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;

/**
 * Uses streams that may have ended at the same moment.
 */
public final class SessionStreams {

    private SessionStreams() {}

    /**
     * Sends a frame; on a stream that has ended it is dropped.
     *
     * @param <T> the type of the frames
     * @param stream the stream
     * @param frame the frame
     * @return false if the stream has ended
     */
    public static <T> boolean send(StreamObserver<T> stream, T frame) {
        try {
            stream.onNext(frame);
            return true;
        } catch (IllegalStateException | io.grpc.StatusRuntimeException e) {
            return false;
        }
    }

    /**
     * Ends a stream at once; does nothing on one that has ended.
     *
     * @param stream the stream
     */
    public static void close(StreamObserver<?> stream) {
        try {
            stream.onError(Status.ABORTED.withDescription("replaced or silent").asRuntimeException());
        } catch (IllegalStateException | io.grpc.StatusRuntimeException e) {
            // The stream has ended by itself.
        }
    }
}
