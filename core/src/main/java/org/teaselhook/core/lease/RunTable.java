package org.teaselhook.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;

import org.teaselhook.core.amount.ResourceAmounts;
import org.teaselhook.core.id.Incarnation;

/**
 * The runs that have not certainly ended, and the sum of the resources they use.
 */
final class RunTable {

    private final Map<RunId, Run> byId = new HashMap<>();
    private final Map<OrderId, Run> byOrder = new HashMap<>();
    private ResourceAmounts used = ResourceAmounts.NONE;

    // -- accessors

    Optional<Run> find(RunId id) {
        return Optional.ofNullable(byId.get(id));
    }

    Optional<Run> find(OrderId order) {
        return Optional.ofNullable(byOrder.get(order));
    }

    boolean contains(RunId id, Run run) {
        return byId.get(id) == run;
    }

    List<Run> all() {
        return new ArrayList<>(byId.values());
    }

    List<Run> all(Predicate<Run> filter) {
        return byId.values().stream().filter(filter).toList();
    }

    /** Returns those of the given ids that are not in the table. */
    Set<RunId> unknown(Set<RunId> ids) {
        return ids.stream().filter(id -> !byId.containsKey(id)).collect(Collectors.toSet());
    }

    Map<Long, RunForecast> forecasts(Incarnation entry) {
        Map<Long, RunForecast> result = new HashMap<>();
        byOrder.forEach((order, run) -> {
            if (order.entry().equals(entry)) {
                run.forecast().ifPresent(forecast -> result.put(order.number(), forecast));
            }
        });
        return result;
    }

    /** Returns when the next call to the worker about a run is due, {@link Long#MAX_VALUE} if none is. */
    long nextCallDueAt() {
        return byId.values().stream()
                .mapToLong(run -> Math.min(run.stopRetryDueAt(), run.checkDueAt()))
                .reduce(Long.MAX_VALUE, Math::min);
    }

    /** Returns when the first order was withdrawn whose run may go on; {@link Long#MAX_VALUE} if there is none. */
    long firstUnsettledWithdrawalAt() {
        return byId.values().stream().mapToLong(Run::unsettledWithdrawalAt).reduce(Long.MAX_VALUE, Math::min);
    }

    boolean hasOverdueStop() {
        return byId.values().stream().anyMatch(Run::isStopOverdue);
    }

    int size() {
        return byId.size();
    }

    ResourceAmounts used() {
        return used;
    }

    // -- updates

    void add(Run run) {
        byId.put(run.id(), run);
        byOrder.put(run.request().order(), run);
        used = used.plus(run.request().amounts());
    }

    /** Changes the id of a run for its next start call. */
    void renumber(Run run, RunId id) {
        byId.remove(run.id());
        run.recordStartCall(id);
        byId.put(id, run);
    }

    void remove(Run run) {
        byId.remove(run.id());
        byOrder.remove(run.request().order());
        used = used.minus(run.request().amounts());
    }
}
