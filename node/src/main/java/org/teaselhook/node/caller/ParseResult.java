package org.teaselhook.node.caller;

import org.teaselhook.core.outcome.Problem;

/**
 * The result of reading a submission.
 */
public sealed interface ParseResult permits ParseResult.Parsed, ParseResult.Malformed {

    /**
     * The request is well-formed.
     *
     * @param request the request
     */
    record Parsed(SubmissionRequest request) implements ParseResult {}

    /**
     * The request is malformed.
     *
     * @param problem what is wrong
     */
    record Malformed(Problem problem) implements ParseResult {}

    /**
     * Returns the result for a malformed request.
     *
     * @param problem what is wrong
     * @return the result
     */
    static ParseResult malformed(Problem problem) {
        return new Malformed(problem);
    }
}
