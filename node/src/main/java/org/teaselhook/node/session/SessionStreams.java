package org.teaselhook.node.session;

import io.grpc.Status;
import io.grpc.stub.StreamObserver;

/**
 * Operations on streams that may be closed concurrently by the other side.
 */
public final class SessionStreams {

    private SessionStreams() {}

    /**
     * Sends a frame, or drops it if the stream has ended.
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
     * Aborts a stream; has no effect if it has ended.
     *
     * @param stream the stream
     */
    public static void close(StreamObserver<?> stream) {
        try {
            stream.onError(Status.ABORTED.withDescription("replaced or silent").asRuntimeException());
        } catch (IllegalStateException | io.grpc.StatusRuntimeException e) {
            // The stream has already ended.
        }
    }
}
