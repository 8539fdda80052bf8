package org.teaselhook.bench.load;

import org.teaselhook.net.http.HttpReply;
import org.teaselhook.net.http.HttpResult;

/** The outcome of a request as reported to its caller. */
enum CallerOutcome {
    COMPLETE,
    NOT_RUN,
    MAY_HAVE_RUN,
    UNANSWERED;

    static CallerOutcome of(HttpResult result) {
        return result instanceof HttpResult.Replied replied ? of(replied.reply()) : UNANSWERED;
    }

    private static CallerOutcome of(HttpReply reply) {
        return switch (reply.header("teaselhook-outcome").orElse("")) {
            case "complete" -> COMPLETE;
            case "not-run" -> NOT_RUN;
            case "may-have-run" -> MAY_HAVE_RUN;
            default -> UNANSWERED;
        };
    }
}
