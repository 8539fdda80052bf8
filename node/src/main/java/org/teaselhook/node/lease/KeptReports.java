package org.teaselhook.node.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.collection.BoundedMap;
import org.teaselhook.core.id.Incarnation;
import org.teaselhook.core.lease.OrderId;
import org.teaselhook.wire.RunReport;

/**
 * The ends and refusals of orders, kept for entries whose connection broke before they arrived. Bounded.
 */
final class KeptReports {

    /** The number of answers kept: a minute's at one worker; an entry that is away longer has given up. */
    private static final int KEPT = 4_096;

    private final BoundedMap<OrderId, RunReport> answers = BoundedMap.of(KEPT);
    private final Map<Incarnation, Long> highestSeen = new HashMap<>();

    void keep(OrderId order, RunReport answer) {
        answers.put(order, answer);
    }

    Optional<RunReport> find(OrderId order) {
        return answers.find(order);
    }

    void seen(OrderId order) {
        highestSeen.merge(order.entry(), order.number(), Math::max);
    }

    /** Returns the highest order seen of an entry; 0 if none was. */
    long highestSeen(Incarnation entry) {
        return highestSeen.getOrDefault(entry, 0L);
    }
}
