package org.teaselhook.core.dispatch;

/**
 * Why an order is sent.
 */
enum AttemptCause {
    /** The task's turn in the queue. */
    TURN(DecisionKind.PLACED),
    /** The task's turn, used to see whether a worker has recovered. */
    PROBE(DecisionKind.PROBED),
    /** A second order beside a slow one. */
    HEDGE(DecisionKind.HEDGED);

    private final DecisionKind decision;

    AttemptCause(DecisionKind decision) {
        this.decision = decision;
    }

    DecisionKind decision() {
        return decision;
    }

    void count(Counters counters) {
        if (this == PROBE) {
            counters.probes++;
        } else if (this == HEDGE) {
            counters.hedges++;
        }
    }
}
