package org.teaselhook.bench.history;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/** Something that was seen in a run. All times are readings of one monotonic clock, in nanoseconds. */
public sealed interface HistoryEvent {

    /**
     * Returns the time of the event.
     *
     * @return nanoseconds on the run's clock
     */
    long atNanos();

    // -- callers

    /**
     * A caller sent a submission.
     *
     * @param call the number of this call, unique in the run
     * @param key the idempotency key or ticket, the same for resubmissions
     * @param job true for a job, false for a single request
     * @param idempotent whether the request's kind is idempotent
     * @param bodies the body of each task, unique in the run for each key and task
     * @param entry the process the call was sent to
     * @param timeoutNanos how long the caller said to wait
     * @param atNanos when it was sent
     */
    record Submitted(
            long call,
            String key,
            boolean job,
            boolean idempotent,
            List<String> bodies,
            String entry,
            long timeoutNanos,
            long atNanos)
            implements HistoryEvent {
        /** Copies the bodies. */
        public Submitted {
            Objects.requireNonNull(key, "key is null");
            bodies = List.copyOf(bodies);
        }

        /**
         * Tells whether each task may start at most once.
         *
         * @return true unless it is a single idempotent request
         */
        public boolean startsOnce() {
            return job || !idempotent;
        }
    }

    /**
     * A call ended.
     *
     * @param call the call's number
     * @param kind how it ended
     * @param bodies the answers of the tasks if complete, else none
     * @param detail the problem as told to the caller, or what was seen on the connection
     * @param atNanos when it ended
     */
    record Answered(long call, AnswerKind kind, List<String> bodies, String detail, long atNanos)
            implements HistoryEvent {
        /** Copies the bodies. */
        public Answered {
            bodies = List.copyOf(bodies);
        }
    }

    // -- targets

    /**
     * A target was handed a task.
     *
     * @param body the task's body
     * @param attempt the attempt as named to the target
     * @param target the target's name
     * @param process the agent beside the target
     * @param zone the target's availability zone
     * @param atNanos when the request arrived at the target
     */
    record Started(String body, String attempt, String target, String process, String zone, long atNanos)
            implements HistoryEvent {}

    /**
     * A target lost the connection of a task that it was running.
     *
     * @param body the task's body
     * @param process the agent beside the target
     * @param atNanos when the connection closed
     */
    record TaskCut(String body, String process, long atNanos) implements HistoryEvent {}

    /**
     * A target told its agent that it is leaving.
     *
     * @param target the target's name
     * @param atNanos when the agent had confirmed it
     */
    record TargetLeft(String target, long atNanos) implements HistoryEvent {}

    /**
     * A target announced itself to its agent.
     *
     * @param target the target's name
     * @param atNanos when the announcement was sent
     */
    record TargetJoined(String target, long atNanos) implements HistoryEvent {}

    // -- operators

    /**
     * An operator took an availability zone out of service or brought it back.
     *
     * @param zone the zone
     * @param out true for out of service, false for back in
     * @param sentNanos when the operation was sent
     * @param version the version under which it holds; empty if the answer was lost
     * @param changed whether the operation made that version, rather than finding the zone so
     * @param operation the operation id
     * @param atNanos when the answer came or the wait ended
     */
    record ZoneChanged(
            String zone,
            boolean out,
            long sentNanos,
            OptionalLong version,
            boolean changed,
            String operation,
            long atNanos)
            implements HistoryEvent {}

    /**
     * The configuration's history, as read at the end of the run, holds an operation.
     *
     * @param version the version
     * @param operation the operation id
     * @param atNanos when it was read
     */
    record ChangeKept(long version, String operation, long atNanos) implements HistoryEvent {}

    // -- processes

    /**
     * A process reported the version of its configuration.
     *
     * @param observer the process and its run
     * @param version the version
     * @param atNanos when the report arrived
     */
    record VersionSeen(String observer, long version, long atNanos) implements HistoryEvent {}

    /**
     * A process was asked to stop gracefully.
     *
     * @param process the process
     * @param atNanos just before the signal
     */
    record StopBegan(String process, long atNanos) implements HistoryEvent {}

    /**
     * A process that was asked to stop has ended by itself.
     *
     * @param process the process
     * @param atNanos when its end was seen
     */
    record StopEnded(String process, long atNanos) implements HistoryEvent {}

    /**
     * A process logged that one of its invariants does not hold.
     *
     * @param process the process
     * @param line the log line
     * @param atNanos when the line was found
     */
    record InvariantViolated(String process, String line, long atNanos) implements HistoryEvent {}
}
