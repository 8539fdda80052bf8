package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * Records the results of orders.
 */
final class RecordingListener implements RunListener {

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
        // Not recorded: tests query the state directly.
    }

    @Override
    public void freeCapacityChanged() {
        // Not recorded: tests query the state directly.
    }

    List<String> all() {
        return events;
    }
}
