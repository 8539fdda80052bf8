package org.teaselhook.core.job;

import java.util.Locale;

/**
 * One decision on a job or task, with the inputs that decided it.
 *
 * @param kind what was decided
 * @param job the job's id
 * @param task the task's name; empty for the whole job
 * @param inputs the inputs, as pairs of key and value
 */
public record JobDecision(Kind kind, String job, String task, Object... inputs) {

    /** What was decided. */
    public enum Kind {
        /** The job was taken. */
        ACCEPTED,
        /** The job was turned away. */
        REFUSED,
        /** A copy of a job that is in progress or was answered of late. */
        DUPLICATE,
        /** A task was ordered. */
        PLACED,
        /** An order was turned down by the agent. */
        ORDER_REFUSED,
        /** A run ended otherwise than by doing its work. */
        RUN_ENDED,
        /** A run takes too long where it is, and is to run elsewhere. */
        MOVED,
        /** The job was given up. */
        GIVEN_UP,
        /** A worker is avoided. */
        WORKER_AVOIDED,
        /** The job is complete. */
        COMPLETED;

        /**
         * Returns the name of the log line's event.
         *
         * @return such as {@code job-accepted}
         */
        public String event() {
            return "job-" + name().toLowerCase(Locale.ROOT).replace('_', '-');
        }

        /**
         * Tells whether this happens with every job that is served.
         *
         * @return true if so
         */
        public boolean isRoutine() {
            return this == ACCEPTED || this == PLACED || this == COMPLETED;
        }
    }
}
