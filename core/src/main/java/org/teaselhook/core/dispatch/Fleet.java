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
 * The workers known to this entry and the services that they serve. Grows with both.
 */
final class Fleet {

    private final Control control;
    private final Map<Incarnation, Worker> workers = new HashMap<>();
    private final Map<String, ServicePool> pools = new HashMap<>();

    Fleet(Control control) {
        this.control = control;
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
                name -> new ServicePool(name, control.settings().policy().usesGrants()));
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
        Worker worker = new Worker(info, info.zone().equals(control.settings().zone()));
        worker.zoneOut(control.rules().isOut(info.zone()));
        return worker;
    }

    /** Takes over what the agent says of itself and returns the pools whose workers in service became fewer. */
    List<ServicePool> update(long nowNanos, Worker worker, AgentState state) {
        List<ServicePool> shrunk = setInService(nowNanos, worker, () -> worker.leaving(state.leaving()));
        for (Member member : List.copyOf(worker.members().values())) {
            if (!state.services().contains(member.pool().service())) {
                remove(member);
                shrunk.add(member.pool());
            }
        }
        for (String service : state.services()) {
            if (!worker.members().containsKey(service)) {
                add(worker, pool(service));
            }
        }
        refresh(nowNanos, worker);
        return shrunk;
    }

    List<ServicePool> remove(Worker worker) {
        workers.remove(worker.info().incarnation());
        List<ServicePool> shrunk = new ArrayList<>();
        for (Member member : List.copyOf(worker.members().values())) {
            remove(member);
            shrunk.add(member.pool());
        }
        return shrunk;
    }

    /** Follows the rules' zones and returns the pools whose workers in service became fewer. */
    List<ServicePool> followZones(long nowNanos) {
        List<ServicePool> shrunk = new ArrayList<>();
        for (Worker worker : workers.values()) {
            boolean out = control.rules().isOut(worker.info().zone());
            if (out != worker.isZoneOut()) {
                shrunk.addAll(setInService(nowNanos, worker, () -> worker.zoneOut(out)));
                rampIfBack(worker, out);
                refresh(nowNanos, worker);
            }
        }
        return shrunk;
    }

    private static void rampIfBack(Worker worker, boolean out) {
        if (!out) {
            worker.members().values().forEach(member -> member.health().ramp());
        }
    }

    // -- members

    private void add(Worker worker, ServicePool pool) {
        Member member = new Member(worker, pool);
        worker.members().put(pool.service(), member);
        pool.add(member);
        if (worker.isInService()) {
            pool.countInService(member, 1);
        }
    }

    private void remove(Member member) {
        ServicePool pool = member.pool();
        if (member.worker().isInService()) {
            pool.countInService(member, -1);
        }
        member.worker().members().remove(pool.service());
        pool.remove(member);
    }

    private List<ServicePool> setInService(long nowNanos, Worker worker, Runnable change) {
        List<ServicePool> shrunk = new ArrayList<>();
        boolean before = worker.isInService();
        change.run();
        boolean after = worker.isInService();
        if (before == after) {
            return shrunk;
        }
        for (Member member : worker.members().values()) {
            member.pool().countInService(member, after ? 1 : -1);
            if (!after) {
                shrunk.add(member.pool());
            }
        }
        return shrunk;
    }

    // -- readiness

    /** Brings the sets of ready workers up to date with a change of one worker. */
    void refresh(long nowNanos, Worker worker) {
        for (Member member : worker.members().values()) {
            ServicePool pool = member.pool();
            pool.refresh(nowNanos, member);
            restoreBeyondBound(nowNanos, pool);
        }
    }

    private void restoreBeyondBound(long nowNanos, ServicePool pool) {
        Optional<Member> restored = pool.restoreBeyondBound();
        while (restored.isPresent()) {
            control.decidedOnWorker(DecisionKind.RESTORED, restored.get());
            pool.refresh(nowNanos, restored.get());
            restored = pool.restoreBeyondBound();
        }
    }

    /** Applies an observation to a worker's health, and logs the change of state it brings. */
    void observe(long nowNanos, Member member, Runnable observation) {
        HealthState before = member.health().state();
        observation.run();
        HealthState after = member.health().state();
        if (before == after) {
            return;
        }
        if (after == HealthState.EJECTED) {
            control.decidedOnWorker(DecisionKind.EJECTED, member);
        } else if (before == HealthState.EJECTED) {
            control.decidedOnWorker(DecisionKind.RESTORED, member);
        }
        refresh(nowNanos, member.worker());
    }

    int wantedSlots(long nowNanos, Worker worker) {
        if (!control.settings().policy().usesGrants() || !worker.isUsable(nowNanos)) {
            return 0;
        }
        int wanted = worker.members().values().stream()
                .filter(member -> member.health().state() != HealthState.EJECTED)
                .mapToInt(member -> member.pool().wantedPerMember())
                .sum();
        return Math.min(wanted, worker.info().slots());
    }
}
