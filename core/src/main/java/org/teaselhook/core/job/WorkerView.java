package org.teaselhook.core.job;

import java.util.List;
import java.util.Objects;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * The state of a worker, as reported by its agent.
 *
 * @param service the service that it serves; empty while it accepts no work
 * @param capacity its total resources
 * @param used the resources in use by runs, for the orders of all entries
 * @param labels the labels of its kind and its rack
 * @param lastSeenOrder the highest order number of this entry that the agent has received: the orders up to it are
 *     counted in {@code used} or have ended
 * @param pace the ratio of run time to estimate, by the progress of the current runs; 0 if too few are running
 */
public record WorkerView(
        String service,
        ResourceAmounts capacity,
        ResourceAmounts used,
        List<String> labels,
        long lastSeenOrder,
        double pace) {

    /** A worker that accepts no work. */
    public static final WorkerView CLOSED =
            new WorkerView("", ResourceAmounts.NONE, ResourceAmounts.NONE, List.of(), 0, 0);

    /** Copies the list. */
    public WorkerView {
        Objects.requireNonNull(service, "service is null");
        labels = List.copyOf(labels);
    }
}
