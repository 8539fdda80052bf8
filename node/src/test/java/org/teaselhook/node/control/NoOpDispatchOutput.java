package org.teaselhook.node.control;

import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/** A dispatcher output that ignores all calls; tests override the methods that they check. */
public abstract class NoOpDispatchOutput implements DispatchOutput {

    @Override
    public void dispatch(DispatchOrder order) {}

    @Override
    public void cancel(Incarnation agent, long number) {}

    @Override
    public void ack(Incarnation agent, long number) {}

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {}

    @Override
    public void returnGrants(Incarnation agent, int slots) {}

    @Override
    public void requestSlots(Incarnation agent, int slots) {}

    @Override
    public void recordDecision(Decision decision) {}
}
