package org.teaselhook.core.dispatch;

import java.util.Objects;

/**
 * One task of a submission. The body array is owned by the request and must not be changed.
 *
 * @param kind the kind's name
 * @param contentType the media type of the body, possibly empty
 * @param body the body's bytes
 * @param idempotent whether the kind's rule allows another start after a possible start
 * @param declaredRunNanos the declared run time, in nanoseconds
 */
public record TaskRequest(String kind, String contentType, byte[] body, boolean idempotent, long declaredRunNanos) {

    /** Checks that nothing is null. */
    public TaskRequest {
        Objects.requireNonNull(kind, "kind is null");
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns a task request.
     *
     * @param kind the kind's name
     * @param contentType the media type of the body, possibly empty
     * @param body the body's bytes
     * @param idempotent whether another start is allowed after a possible start
     * @param declaredRunNanos the declared run time, in nanoseconds
     * @return the request
     */
    public static TaskRequest of(
            String kind, String contentType, byte[] body, boolean idempotent, long declaredRunNanos) {
        return new TaskRequest(kind, contentType, body, idempotent, declaredRunNanos);
    }
}
