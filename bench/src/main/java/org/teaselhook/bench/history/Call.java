package org.teaselhook.bench.history;

import java.util.Objects;
import java.util.Optional;

/**
 * A call of a caller: the submission and how the call ended.
 *
 * @param sent the submission
 * @param answer how the call ended, or empty if the run ended first
 */
public record Call(HistoryEvent.Submitted sent, Optional<HistoryEvent.Answered> answer) {

    /** Checks that nothing is null. */
    public Call {
        Objects.requireNonNull(sent, "sent is null");
        Objects.requireNonNull(answer, "answer is null");
    }

    /**
     * Tells whether the call ended in the given way.
     *
     * @param kind the way of ending
     * @return true if it ended that way
     */
    public boolean ended(AnswerKind kind) {
        return answer.filter(a -> a.kind() == kind).isPresent();
    }

    /**
     * Returns when the caller's timeout expires.
     *
     * @return nanoseconds on the run's clock
     */
    public long deadlineNanos() {
        return sent.atNanos() + sent.timeoutNanos();
    }

    /**
     * Tells whether the call may have caused a start at the given time: it had been sent by then and had not been
     * answered "not run" before.
     *
     * @param nanos the time of the start, in nanoseconds on the run's clock
     * @return true if a start at that time may belong to this call
     */
    public boolean couldStartAt(long nanos) {
        boolean refused = ended(AnswerKind.NOT_RUN) && answer.orElseThrow().atNanos() < nanos;
        return sent.atNanos() <= nanos && !refused && !ended(AnswerKind.NOT_SENT);
    }
}
