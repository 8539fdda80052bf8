package org.teaselhook.node.caller;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * A submission as received from the caller: well-formed, but not yet checked against the rules.
 *
 * @param service the service's name
 * @param customer the customer's name
 * @param tasks the tasks, at least one
 * @param name the caller's key or ticket, or empty
 * @param timeoutMillis the timeout that the caller requests, or empty for the kind's own timeout
 * @param job whether the answer is a job's document rather than the task's own answer
 */
public record SubmissionRequest(
        String service,
        String customer,
        List<TaskBody> tasks,
        Optional<SubmissionName> name,
        OptionalLong timeoutMillis,
        boolean job) {

    /** Copies the tasks. */
    public SubmissionRequest {
        tasks = List.copyOf(tasks);
    }

    /**
     * Returns a digest of the content by which a resubmission is recognized as the same request.
     *
     * @return the first 64 bits of a SHA-256 over service, kinds, media types and bodies
     */
    public long digest() {
        MessageDigest digest = sha256();
        update(digest, service.getBytes(StandardCharsets.UTF_8));
        for (TaskBody task : tasks) {
            update(digest, task.kind().getBytes(StandardCharsets.UTF_8));
            update(digest, task.contentType().getBytes(StandardCharsets.UTF_8));
            update(digest, task.body());
        }
        return ByteBuffer.wrap(digest.digest()).getLong();
    }

    private static void update(MessageDigest digest, byte[] part) {
        digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
        digest.update(part);
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
