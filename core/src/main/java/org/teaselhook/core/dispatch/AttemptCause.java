package org.teaselhook.core.dispatch;

/**
 * The cause of an order.
 */
enum AttemptCause {
    /** The task is at the head of the queue. */
    TURN(DecisionKind.PLACED),
    /** The task is at the head of the queue, and tests whether an ejected worker has recovered. */
    PROBE(DecisionKind.PROBED),
    /** A second order while the first one is late. */
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
