package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.outcome.Outcome;

/** Records the effects of a dispatcher. */
final class RecordingOutput implements DispatchOutput {

    final List<DispatchOrder> orders = new ArrayList<>();
    final List<Long> cancelled = new ArrayList<>();
    final List<Long> acked = new ArrayList<>();
    final Map<String, Outcome> outcomes = new LinkedHashMap<>();
    final Map<String, Outcome> lateOutcomes = new LinkedHashMap<>();
    final Map<Incarnation, Integer> returned = new LinkedHashMap<>();
    final Map<Incarnation, Integer> requested = new LinkedHashMap<>();
    final List<Decision> decisions = new ArrayList<>();

    @Override
    public void dispatch(DispatchOrder order) {
        orders.add(order);
    }

    @Override
    public void cancel(Incarnation agent, long number) {
        cancelled.add(number);
    }

    @Override
    public void ack(Incarnation agent, long number) {
        acked.add(number);
    }

    @Override
    public void submissionAnswered(String submissionId, Outcome outcome) {
        if (outcomes.put(submissionId, outcome) != null) {
            throw new AssertionError("answered twice: " + submissionId);
        }
    }

    @Override
    public void submissionCompletedLate(String submissionId, Outcome outcome) {
        if (lateOutcomes.put(submissionId, outcome) != null) {
            throw new AssertionError("completed late twice: " + submissionId);
        }
    }

    @Override
    public void returnGrants(Incarnation agent, int slots) {
        returned.merge(agent, slots, Integer::sum);
    }

    @Override
    public void requestSlots(Incarnation agent, int slots) {
        requested.put(agent, slots);
    }

    @Override
    public void recordDecision(Decision decision) {
        decisions.add(decision);
    }

    DispatchOrder lastOrder() {
        return orders.get(orders.size() - 1);
    }

    String outcomeOf(String id) {
        return Optional.ofNullable(outcomes.get(id))
                .map(outcome -> outcome.<String>fold(
                        complete -> "complete",
                        notRun -> "not-run " + notRun.problem().kind(),
                        mayHaveRun -> "may-have-run " + mayHaveRun.problem().kind()))
                .orElse("open");
    }
}
