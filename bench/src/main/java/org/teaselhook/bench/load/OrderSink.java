package org.teaselhook.bench.load;

import java.util.ArrayDeque;
import java.util.Deque;

import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/**
 * Keeps the orders in progress, oldest first, and drops all other effects.
 */
public final class OrderSink implements DispatchOutput {

    /** An order in progress. */
    /**
     * One order.
     *
     * @param agent the agent's run
     * @param number the dispatch number
     */
    public record Sent(Incarnation agent, long number) {}

    private final Deque<Sent> sent = new ArrayDeque<>();

    /**
     * Removes the oldest order.
     *
     * @return the order
     * @throws java.util.NoSuchElementException if there is none
     */
    public Sent take() {
        return sent.remove();
    }

    @Override
    public void dispatch(DispatchOrder order) {
        sent.add(new Sent(order.agent(), order.number()));
    }

    @Override
    public void cancel(Incarnation agent, long number) {
        // Nothing runs.
    }

    @Override
    public void ack(Incarnation agent, long number) {
        // Nothing is kept.
    }

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {
        // Nobody waits.
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        // Every slot is granted again by the measurement itself.
    }

    @Override
    public void requestSlots(Incarnation agent, int slots) {
        // Every slot is granted again by the measurement itself.
    }

    @Override
    public void recordDecision(Decision decision) {
        // Not logged.
    }
}
