package org.teaselhook.node.entry;

import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

import org.teaselhook.core.dispatch.Decision;
import org.teaselhook.core.dispatch.DispatchOrder;
import org.teaselhook.core.dispatch.DispatchOutput;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;
import org.teaselhook.net.log.LogLine;
import org.teaselhook.node.session.AgentSessions;

/**
 * Carries out the dispatcher's decisions. Confined to the control thread.
 */
final class EntryOutput implements DispatchOutput {

    private final SubmissionRegistry registry;
    private final LongSupplier clock;
    private final LongSupplier freshUntil;
    private final BiConsumer<String, Outcome> onAnswered;
    private final BiConsumer<String, Outcome> onCompletedLate;
    private AgentSessions sessions;

    EntryOutput(
            SubmissionRegistry registry,
            LongSupplier clock,
            LongSupplier freshUntil,
            BiConsumer<String, Outcome> onAnswered,
            BiConsumer<String, Outcome> onCompletedLate) {
        this.registry = registry;
        this.clock = clock;
        this.freshUntil = freshUntil;
        this.onAnswered = onAnswered;
        this.onCompletedLate = onCompletedLate;
    }

    /** Sets the sessions, which depend on the dispatcher and so are created later; called once before any event. */
    void connect(AgentSessions agentSessions) {
        sessions = agentSessions;
    }

    /** Limits the start of an order to the time for which its configuration is known to be recent. */
    @Override
    public void dispatch(DispatchOrder order) {
        sessions.dispatch(order.startingBy(freshUntil.getAsLong()), registry.nameOf(order.submissionId()));
    }

    @Override
    public void cancel(Incarnation agent, long number) {
        sessions.cancel(agent, number);
    }

    @Override
    public void ack(Incarnation agent, long number) {
        sessions.ack(agent, number);
    }

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {
        onAnswered.accept(submissionId, outcome);
    }

    @Override
    public void submissionCompletedLate(String submissionId, Outcome outcome) {
        onCompletedLate.accept(submissionId, outcome);
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        sessions.returnGrants(agent, slots);
    }

    @Override
    public void requestSlots(Incarnation agent, int slots) {
        sessions.sendHeartbeat(clock.getAsLong(), agent);
    }

    @Override
    public void recordDecision(Decision decision) {
        LogLine.of("decision")
                .with("kind", decision.kind())
                .with("reason", decision.reason())
                .with("submission", registry.nameOf(decision.submissionId()))
                .with("task", decision.taskIndex())
                .with("dispatch", decision.number())
                .with("agent", decision.agent())
                .with("zone", decision.zone())
                .with("queued", decision.queued())
                .with("wait-ms", TimeUnit.NANOSECONDS.toMillis(decision.waitNanos()))
                .info();
    }
}
