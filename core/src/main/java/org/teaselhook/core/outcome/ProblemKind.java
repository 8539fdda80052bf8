package org.teaselhook.core.outcome;

import java.time.Duration;

/**
 * The kinds of refusals and failures, each with its HTTP status, title, remedy and default retry delay.
 */
public enum ProblemKind {
    /** The request is malformed. */
    BAD_REQUEST(400, "The request is malformed", "Correct the part named in the detail and send it again.", 0),
    /** No rule is configured for the service. */
    UNKNOWN_SERVICE(404, "The service is unknown", "Check the service's name, or ask an operator for a rule.", 0),
    /** No rule is configured for the kind. */
    UNKNOWN_KIND(404, "The kind is unknown", "Check the kind's name, or ask an operator for a rule.", 0),
    /** No rule is configured for the customer. */
    UNKNOWN_CUSTOMER(403, "The customer is unknown", "Check the customer's name, or ask an operator for a rule.", 0),
    /** The job is not known. */
    UNKNOWN_JOB(404, "The job is unknown", "Submit it under the same key; its answer is no longer kept.", 0),
    /** The request body or the job is too large. */
    TOO_LARGE(413, "The request is too large", "Split the request so that each part is within the limit.", 0),
    /** The idempotency key was used with another request body. */
    KEY_REUSED(422, "The key belongs to another request", "Use a new key for a new request.", 0),
    /** The ticket is not valid. */
    BAD_TICKET(422, "The ticket is not valid", "Fetch new tickets with POST /v1/tickets.", 0),
    /** The customer's quota is used up. */
    QUOTA_EXCEEDED(429, "The customer's quota is used up", "Send fewer requests at once, or ask for a quota.", 1_000),
    /** The task could not be started in time. */
    OVERLOADED(503, "The task cannot be finished in time", "Try again after Retry-After with the same key.", 1_000),
    /** No worker of the service is available. */
    NO_WORKER(503, "No worker is available", "Try again after Retry-After; operators see `ctl status`.", 2_000),
    /** The task exceeds the capacity of every known worker. */
    NEVER_FITS(422, "No known worker can hold the task", "Make the task smaller; the detail names the size.", 0),
    /** The table service is unreachable, so the idempotency key cannot be claimed. */
    CLAIMS_UNAVAILABLE(503, "Keys cannot be claimed now", "Use a ticket, or try again after Retry-After.", 2_000),
    /** An earlier copy of the request is still being admitted. */
    UNDECIDED(503, "The request is being admitted", "Ask for the job by its key, or send it again.", 1_000),
    /** This entry has no recent configuration. */
    NOT_READY(503, "The entry is not ready", "Try again after Retry-After; the balancer will choose another.", 1_000),
    /** This entry is shutting down. */
    STOPPING(503, "The entry is stopping", "Try again at once; the balancer will choose another.", 100),
    /** The caller cancelled the submission. */
    CANCELLED(409, "The submission was cancelled", "Submit it again under a new key if it is still wanted.", 0),
    /** The deadline has passed. */
    TIMED_OUT(504, "The time ran out", "Ask for the job by its key, or send it again with more time.", 0),
    /** A worker was lost while it may have been running the task. */
    WORKER_LOST(502, "The worker was lost", "Check whether the work was done before sending it under a new key.", 0),
    /** The target answered with an error. */
    TARGET_FAILED(502, "The target answered with an error", "Look at the target's logs for the submission.", 0),
    /** The entry that held the idempotency key or ticket has terminated. */
    HOLDER_LOST(502, "The entry that held the request is gone", "Check whether the work was done.", 0),
    /** An unexpected error in this process. */
    INTERNAL(500, "The entry failed", "Report it with the entry's log; check whether the work was done.", 0);

    private final int httpStatus;
    private final String title;
    private final String remedy;
    private final Duration retryAfter;

    ProblemKind(int httpStatus, String title, String remedy, long retryAfterMillis) {
        this.httpStatus = httpStatus;
        this.title = title;
        this.remedy = remedy;
        this.retryAfter = Duration.ofMillis(retryAfterMillis);
    }

    // -- accessors

    /**
     * Returns the HTTP status that callers receive.
     *
     * @return a status code from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the short title.
     *
     * @return the title
     */
    public String title() {
        return title;
    }

    /**
     * Returns what the caller can do about it.
     *
     * @return the remedy
     */
    public String remedy() {
        return remedy;
    }

    /**
     * Returns the default delay before a retry.
     *
     * @return the delay; zero if waiting does not help
     */
    public Duration retryAfter() {
        return retryAfter;
    }

    /**
     * Returns the URI that identifies this kind in a problem document (RFC 9457).
     *
     * @return a URN such as {@code urn:teaselhook:problem:overloaded}
     */
    public String type() {
        return "urn:teaselhook:problem:"
                + name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
