package org.teaselhook.bench.load;

import java.util.ArrayDeque;
import java.util.Deque;

import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/**
 * A dispatcher output that keeps the orders in progress, oldest first, and ignores all other calls.
 */
public final class OrderSink implements DispatchOutput {

    /**
     * An order in progress.
     *
     * @param agent the incarnation of the agent
     * @param number the dispatch number
     */
    public record SentOrder(Incarnation agent, long number) {}

    private final Deque<SentOrder> sent = new ArrayDeque<>();

    /**
     * Removes the oldest order.
     *
     * @return the order
     * @throws java.util.NoSuchElementException if no order is in progress
     */
    public SentOrder removeOldest() {
        return sent.remove();
    }

    @Override
    public void dispatch(DispatchOrder order) {
        sent.add(new SentOrder(order.agent(), order.number()));
    }

    @Override
    public void cancel(Incarnation agent, long number) {
        // No task is running.
    }

    @Override
    public void ack(Incarnation agent, long number) {
        // No results are retained.
    }

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {
        // No caller is waiting.
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        // The benchmark grants the slots itself.
    }

    @Override
    public void requestSlots(Incarnation agent, int slots) {
        // The benchmark grants the slots itself.
    }

    @Override
    public void recordDecision(Decision decision) {
        // Decisions are not logged.
    }
}
