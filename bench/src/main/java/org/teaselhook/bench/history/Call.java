package org.teaselhook.bench.history;

import java.util.Objects;
import java.util.Optional;

/**
 * One call of a caller: what was sent and how it ended.
 *
 * @param sent the submission
 * @param answer its end, or empty if the run ended first
 */
public record Call(HistoryEvent.Submitted sent, Optional<HistoryEvent.Answered> answer) {

    /** Checks that nothing is null. */
    public Call {
        Objects.requireNonNull(sent, "sent is null");
        Objects.requireNonNull(answer, "answer is null");
    }

    /**
     * Tells how the call ended.
     *
     * @param kind a way to end
     * @return true if it ended that way
     */
    public boolean ended(AnswerKind kind) {
        return answer.filter(a -> a.kind() == kind).isPresent();
    }

    /**
     * Returns when the caller's wait ends.
     *
     * @return nanoseconds on the run's clock
     */
    public long deadlineNanos() {
        return sent.atNanos() + sent.timeoutNanos();
    }

    /**
     * Tells whether the call could have caused something at a given time: it was sent and not yet answered not run.
     *
     * @param nanos the time
     * @return true if a start at that time can belong to this call
     */
    public boolean couldStartAt(long nanos) {
        boolean refused = ended(AnswerKind.NOT_RUN) && answer.orElseThrow().atNanos() < nanos;
        return sent.atNanos() <= nanos && !refused && !ended(AnswerKind.NOT_SENT);
    }
}
