package org.teaselhook.core.lease;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;

import org.teaselhook.core.amount.ResourceAmounts;

/**
 * A worker's registration report: its identity, address and capacity.
 *
 * @param id the id of the worker
 * @param startedAtMillis the Unix time of its start in milliseconds, which tells incarnations with the same id apart
 * @param sequence the report's number, which increases with each report of one incarnation
 * @param service the service it serves
 * @param address the address to which calls are sent
 * @param zone its availability zone
 * @param capacity its total resources
 * @param labels its kind and its rack
 * @param draining whether it accepts no new work
 */
public record WorkerReport(
        String id,
        long startedAtMillis,
        long sequence,
        String service,
        InetSocketAddress address,
        String zone,
        ResourceAmounts capacity,
        List<String> labels,
        boolean draining) {

    /** Copies the list. */
    public WorkerReport {
        Objects.requireNonNull(id, "id is null");
        Objects.requireNonNull(service, "service is null");
        Objects.requireNonNull(address, "address is null");
        labels = List.copyOf(labels);
    }

    /** Returns the presumed report of a later incarnation of the worker that has not sent one yet. */
    WorkerReport restartedAt(long atMillis) {
        return new WorkerReport(id, atMillis, 0, service, address, zone, capacity, labels, false);
    }

    /** Whether both reports offer the same capacity to new runs. */
    boolean offersSame(WorkerReport other) {
        return draining == other.draining && capacity.equals(other.capacity);
    }

    /** Whether both reports are of one incarnation, whose service and address do not change once it has reported. */
    boolean isSameIncarnation(WorkerReport other) {
        boolean isPresumed = sequence == 0 || other.sequence == 0;
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && (isPresumed || service.equals(other.service) && address.equals(other.address));
    }
}
