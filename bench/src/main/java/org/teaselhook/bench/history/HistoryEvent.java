package org.teaselhook.bench.history;

import java.util.List;
import java.util.Objects;
import java.util.OptionalLong;

/** An event of a run. All times are readings of one monotonic clock, in nanoseconds. */
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
     * @param bodies the body of each task; in a run unique for each key and task
     * @param entry the entry process that the call was sent to
     * @param timeoutNanos the timeout that the caller requested, in nanoseconds
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
         * Tells whether each task must start at most once.
         *
         * @return true unless it is a single idempotent request
         */
        public boolean startsAtMostOnce() {
            return job || !idempotent;
        }
    }

    /**
     * A call ended.
     *
     * @param call the call's number
     * @param kind how it ended
     * @param bodies the answers to the tasks if complete, otherwise empty
     * @param detail the problem reported to the caller, or the error on the connection
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
     * A target received a task.
     *
     * @param body the task's body
     * @param attempt the attempt id sent to the target
     * @param target the target's name
     * @param process the target's agent
     * @param zone the target's availability zone
     * @param atNanos when the request arrived at the target
     */
    record Started(String body, String attempt, String target, String process, String zone, long atNanos)
            implements HistoryEvent {}

    /**
     * The connection of a task was closed while the target ran the task.
     *
     * @param body the task's body
     * @param process the target's agent
     * @param atNanos when the connection closed
     */
    record TaskCut(String body, String process, long atNanos) implements HistoryEvent {}

    /**
     * A target notified its agent that it is leaving.
     *
     * @param target the target's name
     * @param atNanos when the agent confirmed it
     */
    record TargetLeft(String target, long atNanos) implements HistoryEvent {}

    /**
     * A target registered with its agent.
     *
     * @param target the target's name
     * @param atNanos a time before the registration was sent
     */
    record TargetJoined(String target, long atNanos) implements HistoryEvent {}

    // -- operators

    /**
     * An operator took an availability zone out of service or brought it back.
     *
     * @param zone the zone
     * @param out true for out of service, false for back in
     * @param sentNanos when the operation was sent
     * @param version the configuration version that contains the change; empty if the answer was lost
     * @param changed whether the operation created that version; false if the zone was already in that state
     * @param operation the operation id
     * @param atNanos when the answer arrived or the operator timed out
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
     * An operation was found in the configuration's history, which is read at the end of the run.
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
     * @param observer the name and the process id of the process
     * @param version the version
     * @param atNanos when the report arrived
     */
    record VersionSeen(String observer, long version, long atNanos) implements HistoryEvent {}

    /**
     * A process was asked to stop gracefully.
     *
     * @param process the process
     * @param atNanos the time just before the signal
     */
    record StopBegan(String process, long atNanos) implements HistoryEvent {}

    /**
     * A process that was asked to stop exited before the stop timed out.
     *
     * @param process the process
     * @param atNanos when its exit was detected
     */
    record StopEnded(String process, long atNanos) implements HistoryEvent {}

    /**
     * A process logged a violated invariant.
     *
     * @param process the process
     * @param line the log line
     * @param atNanos when the line was found
     */
    record InvariantViolated(String process, String line, long atNanos) implements HistoryEvent {}
}
