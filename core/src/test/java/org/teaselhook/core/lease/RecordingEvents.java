package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * Writes down what became of orders.
 */
final class RecordingEvents implements RunEvents {

    private final List<String> events = new ArrayList<>();

    @Override
    public void ended(RunRequest request, RunOutcome outcome, long runMillis) {
        events.add(request.order().number() + " " + outcome);
    }

    @Override
    public void refused(RunRequest request, RunRefusal refusal) {
        events.add(request.order().number() + " " + refusal);
    }

    @Override
    public void workerChanged() {
        // Tests ask for the state itself.
    }

    @Override
    public void roomChanged() {
        // Tests ask for the state itself.
    }

    List<String> all() {
        return events;
    }
}
