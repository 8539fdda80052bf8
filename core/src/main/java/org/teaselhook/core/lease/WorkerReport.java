package org.teaselhook.core.lease;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

import org.teaselhook.core.amount.Amounts;

/**
 * What a worker says of itself.
 *
 * @param id the worker's id
 * @param startedAtMillis the Unix time of its start, which tells two lives under one id apart
 * @param sequence rises with each report of one life
 * @param service the service it serves
 * @param address where it takes orders
 * @param zone its availability zone
 * @param capacity what it has
 * @param labels its kind and its rack
 * @param draining whether it takes no new work
 */
public record WorkerReport(
        String id,
        long startedAtMillis,
        long sequence,
        String service,
        InetSocketAddress address,
        String zone,
        Amounts capacity,
        List<String> labels,
        boolean draining) {

    /** Copies the list. */
    public WorkerReport {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        labels = List.copyOf(labels);
    }

    /** Returns what is known of the same worker in a later life that has not reported yet. */
    WorkerReport startedAgain(long atMillis) {
        return new WorkerReport(id, atMillis, 0, service, address, zone, capacity, labels, false);
    }

    boolean isSameLife(WorkerReport other) {
        return id.equals(other.id) && startedAtMillis == other.startedAtMillis;
    }

    /** Tells whether this was said later than the other, whichever arrived first. */
    boolean isNewerThan(WorkerReport other) {
        return isSameLife(other) ? sequence > other.sequence : startedAtMillis >= other.startedAtMillis;
    }
}
