package org.teaselhook.core.job;

import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * An order that ended or was refused, kept to be logged when its task is ordered again.
 *
 * @param order the order's number
 * @param run the least number that its run could have
 * @param agent the agent's name
 * @param placedAt when it was sent
 * @param source how its end became known
 * @param result the outcome of the run, or the reason of the refusal
 * @param endedAt when its end became known
 */
record EndedOrder(long order, int run, String agent, long placedAt, EndSource source, Enum<?> result, long endedAt) {

    static EndedOrder of(long nowNanos, Placement placement, EndSource source, Enum<?> result) {
        return new EndedOrder(
                placement.number(),
                placement.task().lastRun(),
                placement.worker().name(),
                placement.placedAt(),
                source,
                result,
                nowNanos);
    }

    /** Returns the inputs of a run's end, as pairs of key and value. */
    Object[] runInputs(long runMillis) {
        return new Object[] {
            "outcome",
            result,
            "worker",
            agent,
            "run_ms",
            runMillis,
            "order",
            order,
            "run",
            run,
            "ended_by",
            source.text()
        };
    }

    /** Returns the inputs of a refusal, as pairs of key and value. */
    Object[] refusalInputs() {
        return new Object[] {"reason", result, "worker", agent, "order", order, "run", run, "ended_by", source.text()};
    }

    /** Returns the inputs of the next order of its task with those of this one, as pairs of key and value. */
    Object[] inputsWhenOrderedAgain(long nowNanos, Placement next, Object[] nextInputs) {
        Object[] inputs = {
            "incarnation",
            next.worker().agent(),
            "ended_by",
            source.text(),
            "result",
            result,
            "before_order",
            order,
            "before_run",
            run,
            "before_agent",
            agent,
            "before_copy",
            next.task().lastEnd().isEmpty(),
            "ordered_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - placedAt),
            "ended_ms",
            TimeUnit.NANOSECONDS.toMillis(nowNanos - endedAt)
        };
        return Stream.concat(Stream.of(nextInputs), Stream.of(inputs)).toArray();
    }
}
