package org.teaselhook.core.outcome;

import java.util.Objects;

/**
 * A target's complete answer to one task. The body array is owned by the answer and must not be modified.
 *
 * @param httpStatus the target's HTTP status, 200 to 299
 * @param contentType the media type of the body, possibly empty
 * @param body the body's bytes
 */
public record Answer(int httpStatus, String contentType, byte[] body) {

    /** Checks that nothing is null. */
    public Answer {
        Objects.requireNonNull(contentType, "contentType is null");
        Objects.requireNonNull(body, "body is null");
    }

    /**
     * Returns an answer.
     *
     * @param httpStatus the target's HTTP status, 200 to 299
     * @param contentType the media type of the body, possibly empty
     * @param body the body's bytes
     * @return the answer
     */
    public static Answer of(int httpStatus, String contentType, byte[] body) {
        return new Answer(httpStatus, contentType, body);
    }

    /**
     * Returns the size of the body.
     *
     * @return the size in bytes
     */
    public int size() {
        return body.length;
    }
}
