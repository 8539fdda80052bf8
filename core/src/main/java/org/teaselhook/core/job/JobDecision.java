package org.teaselhook.core.job;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.IntStream;

/**
 * A decision on a job or task, with its inputs.
 *
 * @param kind what was decided
 * @param job the job's id
 * @param task the task's name; empty if the decision is about the whole job
 * @param inputs the inputs of the decision, as pairs of key and value
 */
public record JobDecision(Kind kind, String job, String task, Object... inputs) {

    /**
     * Finds an input.
     *
     * @param key its key
     * @return its value, or empty if the decision has no such input
     */
    public Optional<Object> input(String key) {
        return IntStream.range(0, inputs.length / 2)
                .filter(i -> inputs[2 * i].equals(key))
                .mapToObj(i -> inputs[2 * i + 1])
                .findFirst();
    }

    /** What was decided. */
    public enum Kind {
        /** The job was accepted and its first task is being placed. */
        ACCEPTED,
        /** The job was refused on arrival. */
        REFUSED,
        /** The job is a copy of one that is in progress or was answered recently. */
        DUPLICATE,
        /** The job is a copy of one that ended here without completing, and whose tasks may have run. */
        RESUBMITTED,
        /** A task was ordered for the first time. */
        PLACED,
        /** A task was ordered whose earlier order, for this job or an earlier copy, had ended or was refused. */
        TASK_ORDERED_AGAIN,
        /** An order was refused by the agent. */
        ORDER_REFUSED,
        /** A run ended without completing its task. */
        RUN_ENDED,
        /** A run is stopped on a slow worker, to be run again on another one. */
        MOVED,
        /** The job ended without completing: it was given up, failed or was cancelled. */
        GIVEN_UP,
        /** A worker is avoided for some time after repeated failures. */
        WORKER_AVOIDED,
        /** The job is complete. */
        COMPLETED;

        /**
         * Returns the event name for the log.
         *
         * @return the event, such as {@code job-accepted}
         */
        public String event() {
            String event = name().toLowerCase(Locale.ROOT).replace('_', '-');
            return this == TASK_ORDERED_AGAIN ? event : "job-" + event;
        }

        /**
         * Tells whether this decision is made for every job that is served.
         *
         * @return true if so
         */
        public boolean isRoutine() {
            return this == ACCEPTED || this == PLACED || this == COMPLETED;
        }
    }
}
