package org.teaselhook.node.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.collection.BoundedMap;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.wire.RunReport;

/**
 * The latest end and refusal reports of orders, kept to be resent to an entry whose connection broke before they
 * arrived. Bounded in size.
 */
final class ReportCache {

    /** Maximum number of reports: a minute's worth of one worker; entries do not wait longer for them. */
    private static final int MAX_REPORTS = 4_096;

    private final BoundedMap<OrderId, RunReport> reports = BoundedMap.of(MAX_REPORTS);
    private final Map<Incarnation, Long> highestSeenOrders = new HashMap<>();

    void put(OrderId order, RunReport report) {
        reports.put(order, report);
    }

    Optional<RunReport> find(OrderId order) {
        return reports.find(order);
    }

    /** Whether this order or a later one of the same entry was received, or listed in a greeting. */
    boolean hasSeen(OrderId order) {
        return order.number() <= highestSeenOrder(order.entry());
    }

    void recordSeen(OrderId order) {
        highestSeenOrders.merge(order.entry(), order.number(), Math::max);
    }

    /** Returns the highest order number received from an entry, 0 if none was. */
    long highestSeenOrder(Incarnation entry) {
        return highestSeenOrders.getOrDefault(entry, 0L);
    }
}
