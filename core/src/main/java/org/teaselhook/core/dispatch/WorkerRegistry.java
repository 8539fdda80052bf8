package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.teaselhook.core.health.HealthState;
import org.teaselhook.core.id.Incarnation;

/**
 * The workers known to this entry and the pools of the services that they serve. Takes memory in proportion to both.
 */
final class WorkerRegistry {

    private final DispatchContext context;
    private final Map<Incarnation, Worker> workers = new HashMap<>();
    private final Map<String, ServicePool> pools = new HashMap<>();

    WorkerRegistry(DispatchContext context) {
        this.context = context;
    }

    // -- accessors

    Optional<Worker> find(Incarnation agent) {
        return Optional.ofNullable(workers.get(agent));
    }

    Collection<Worker> workers() {
        return workers.values();
    }

    Collection<ServicePool> pools() {
        return pools.values();
    }

    ServicePool pool(String service) {
        return pools.computeIfAbsent(
                service,
                name -> new ServicePool(name, context.settings().policy().usesGrants()));
    }

    Optional<ServicePool> findPool(String service) {
        return Optional.ofNullable(pools.get(service));
    }

    int size() {
        return workers.size();
    }

    int ejected() {
        return pools.values().stream().mapToInt(pool -> pool.peers().ejected()).sum();
    }

    // -- workers

    Worker connect(long nowNanos, AgentInfo info) {
        Worker worker = workers.computeIfAbsent(info.incarnation(), incarnation -> create(info));
        worker.connected();
        refresh(nowNanos, worker);
        return worker;
    }

    private Worker create(AgentInfo info) {
        Worker worker = new Worker(info, info.zone().equals(context.settings().zone()));
        worker.zoneOut(context.rules().isZoneOut(info.zone()));
        return worker;
    }

    /** Applies the reported state of an agent and returns the pools that lost a worker in service. */
    List<ServicePool> update(long nowNanos, Worker worker, AgentState state) {
        List<ServicePool> shrunkPools =
                applyAvailabilityChange(nowNanos, worker, () -> worker.leaving(state.leaving()));
        for (PoolMember member : List.copyOf(worker.members().values())) {
            if (!state.services().contains(member.pool().service())) {
                remove(member);
                shrunkPools.add(member.pool());
            }
        }
        for (String service : state.services()) {
            if (!worker.members().containsKey(service)) {
                add(worker, pool(service));
            }
        }
        refresh(nowNanos, worker);
        return shrunkPools;
    }

    List<ServicePool> remove(Worker worker) {
        workers.remove(worker.info().incarnation());
        List<ServicePool> shrunkPools = new ArrayList<>();
        for (PoolMember member : List.copyOf(worker.members().values())) {
            remove(member);
            shrunkPools.add(member.pool());
        }
        return shrunkPools;
    }

    /** Applies the zones that the rules take out of service and returns the pools that lost a worker in service. */
    List<ServicePool> applyZones(long nowNanos) {
        List<ServicePool> shrunkPools = new ArrayList<>();
        for (Worker worker : workers.values()) {
            boolean isOut = context.rules().isZoneOut(worker.info().zone());
            if (isOut != worker.isZoneOut()) {
                shrunkPools.addAll(applyAvailabilityChange(nowNanos, worker, () -> worker.zoneOut(isOut)));
                rampIfRestored(worker, isOut);
                refresh(nowNanos, worker);
            }
        }
        return shrunkPools;
    }

    private static void rampIfRestored(Worker worker, boolean isOut) {
        if (!isOut) {
            worker.members().values().forEach(member -> member.health().startRampUp());
        }
    }

    // -- members

    private void add(Worker worker, ServicePool pool) {
        PoolMember member = new PoolMember(worker, pool);
        worker.members().put(pool.service(), member);
        pool.add(member);
        if (worker.isInService()) {
            pool.countInService(member, 1);
        }
    }

    private void remove(PoolMember member) {
        ServicePool pool = member.pool();
        if (member.worker().isInService()) {
            pool.countInService(member, -1);
        }
        member.worker().members().remove(pool.service());
        pool.remove(member);
    }

    private List<ServicePool> applyAvailabilityChange(long nowNanos, Worker worker, Runnable change) {
        List<ServicePool> shrunkPools = new ArrayList<>();
        boolean previous = worker.isInService();
        change.run();
        boolean current = worker.isInService();
        if (previous == current) {
            return shrunkPools;
        }
        for (PoolMember member : worker.members().values()) {
            member.pool().countInService(member, current ? 1 : -1);
            if (!current) {
                shrunkPools.add(member.pool());
            }
        }
        return shrunkPools;
    }

    // -- readiness

    /** Updates the sets of ready workers after a change of one worker. */
    void refresh(long nowNanos, Worker worker) {
        for (PoolMember member : worker.members().values()) {
            ServicePool pool = member.pool();
            pool.refresh(nowNanos, member);
            restoreExcessEjected(nowNanos, pool);
        }
    }

    private void restoreExcessEjected(long nowNanos, ServicePool pool) {
        Optional<PoolMember> restored = pool.restoreExcessEjected();
        while (restored.isPresent()) {
            context.recordWorkerDecision(DecisionKind.RESTORED, restored.get());
            pool.refresh(nowNanos, restored.get());
            restored = pool.restoreExcessEjected();
        }
    }

    /** Applies an observation to a worker's health, and logs the resulting change of state. */
    void observe(long nowNanos, PoolMember member, Runnable observation) {
        HealthState previous = member.health().state();
        observation.run();
        HealthState current = member.health().state();
        if (previous == current) {
            return;
        }
        if (current == HealthState.EJECTED) {
            context.recordWorkerDecision(DecisionKind.EJECTED, member);
        } else if (previous == HealthState.EJECTED) {
            context.recordWorkerDecision(DecisionKind.RESTORED, member);
        }
        refresh(nowNanos, member.worker());
    }

    int wantedSlots(long nowNanos, Worker worker) {
        if (!context.settings().policy().usesGrants() || !worker.isUsable(nowNanos)) {
            return 0;
        }
        int wanted = worker.members().values().stream()
                .filter(member -> member.health().state() != HealthState.EJECTED)
                .mapToInt(member -> member.pool().wantedPerMember())
                .sum();
        return Math.min(wanted, worker.info().slots());
    }
}
