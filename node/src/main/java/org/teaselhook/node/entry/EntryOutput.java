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
 * Carries out what the dispatcher decides. Confined to the control thread.
 */
final class EntryOutput implements DispatchOutput {

    private final SubmissionRegistry registry;
    private final LongSupplier clock;
    private final LongSupplier freshUntil;
    private final BiConsumer<String, Outcome> answered;
    private final BiConsumer<String, Outcome> completedLate;
    private AgentSessions sessions;

    EntryOutput(
            SubmissionRegistry registry,
            LongSupplier clock,
            LongSupplier freshUntil,
            BiConsumer<String, Outcome> answered,
            BiConsumer<String, Outcome> completedLate) {
        this.registry = registry;
        this.clock = clock;
        this.freshUntil = freshUntil;
        this.answered = answered;
        this.completedLate = completedLate;
    }

    /** Sets the sessions, which themselves need the dispatcher; called once before any event. */
    void connect(AgentSessions agentSessions) {
        sessions = agentSessions;
    }

    /** An order must not start once the configuration that it was made by is no longer known to be recent. */
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
    public void answered(String submissionId, Outcome outcome) {
        answered.accept(submissionId, outcome);
    }

    @Override
    public void completedLate(String submissionId, Outcome outcome) {
        completedLate.accept(submissionId, outcome);
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        sessions.returnGrants(agent, slots);
    }

    @Override
    public void want(Incarnation agent, int slots) {
        sessions.heartbeatNow(clock.getAsLong(), agent);
    }

    @Override
    public void decided(Decision decision) {
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
