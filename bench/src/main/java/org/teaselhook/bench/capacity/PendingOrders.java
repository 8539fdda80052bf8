package org.teaselhook.bench.capacity;

import java.util.ArrayDeque;
import java.util.Deque;

import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/** Keeps a dispatcher's orders, oldest first, and drops its other effects. */
final class PendingOrders implements DispatchOutput {

    /** An order in progress. */
    record Order(Incarnation agent, long number) {}

    private final Deque<Order> orders = new ArrayDeque<>();

    Order take() {
        return orders.remove();
    }

    @Override
    public void dispatch(DispatchOrder order) {
        orders.add(new Order(order.agent(), order.number()));
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
    public void answered(String submissionId, Outcome outcome) {
        // Nobody waits.
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        // No agent shares its slots.
    }

    @Override
    public void want(Incarnation agent, int slots) {
        // No agent shares its slots.
    }

    @Override
    public void decided(Decision decision) {
        // Not logged.
    }
}
