package org.teaselhook.core.job;

import java.util.List;
import java.util.Objects;

import org.teaselhook.core.amount.Amounts;

/**
 * A worker by its agent's word.
 *
 * @param service the service it serves; empty while it takes no work
 * @param capacity what it has
 * @param used what runs there use, orders of all entries included
 * @param labels its kind and its rack
 * @param seenOrder the highest order of this entry that is counted in {@code used} or over
 * @param pace how long runs take there beside their estimates, by the progress of those that run; 0 if too few run
 */
public record WorkerView(
        String service, Amounts capacity, Amounts used, List<String> labels, long seenOrder, double pace) {

    /** A worker that takes no work. */
    public static final WorkerView CLOSED = new WorkerView("", Amounts.NONE, Amounts.NONE, List.of(), 0, 0);

    /** Copies the list. */
    public WorkerView {
        Objects.requireNonNull(service, "service is null");
        labels = List.copyOf(labels);
    }
}
