package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.estimate.RunTimeEstimates;
import org.teaselhook.core.health.HealthState;
import org.teaselhook.core.health.PeerGroup;
import org.teaselhook.core.placement.CandidateSet;
import org.teaselhook.core.queue.FairQueue;

/**
 * A service at this entry: its queue, its workers and its capacity.
 */
final class ServicePool {

    private static final int MAX_PROBE_CANDIDATES = 4;
    private static final double CAPACITY_DECAY_NANOS = 500_000_000.0;

    private final String service;
    private final boolean usesGrants;
    private final FairQueue<ActiveTask> queue = FairQueue.empty();
    private final RunTimeEstimates runTimes = RunTimeEstimates.empty();
    private final PeerGroup peers = PeerGroup.empty();
    private final CandidateSet<PoolMember> ready = CandidateSet.empty();
    private final CandidateSet<OpenSlots> openSlots = CandidateSet.empty();
    private final List<PoolMember> members = new ArrayList<>();
    private final Set<PoolMember> ejected = new LinkedHashSet<>();
    private final Set<Worker> requestedWorkers = new LinkedHashSet<>();
    private Optional<Timers.Timer> drainTimer = Optional.empty();
    private int running;
    private int slotsInService;
    private int membersInService;
    private double capacity;
    private long capacityUpdatedAt;
    private long openSlotRefusedAt = Long.MIN_VALUE / 2;
    private int requestIndex;
    private boolean requesting;
    private long requestedAt;

    ServicePool(String service, boolean usesGrants) {
        this.service = service;
        this.usesGrants = usesGrants;
    }

    // -- accessors

    String service() {
        return service;
    }

    boolean usesGrants() {
        return usesGrants;
    }

    FairQueue<ActiveTask> queue() {
        return queue;
    }

    PeerGroup peers() {
        return peers;
    }

    CandidateSet<PoolMember> ready() {
        return ready;
    }

    /** Returns the workers that would probably start an order without a grant. */
    CandidateSet<OpenSlots> openSlots() {
        return openSlots;
    }

    List<PoolMember> members() {
        return members;
    }

    int membersInService() {
        return membersInService;
    }

    int slotsInService() {
        return slotsInService;
    }

    RunTimeEstimate runTime(TaskRequest task) {
        return runTimes.of(task.kind(), task.declaredRunNanos());
    }

    /** Returns an ejected worker that is due for a probe. Examines a bounded number of them in turn. */
    Optional<PoolMember> dueForProbe(long nowNanos) {
        int examined = Math.min(MAX_PROBE_CANDIDATES, ejected.size());
        for (int i = 0; i < examined; i++) {
            PoolMember member = ejected.iterator().next();
            ejected.remove(member);
            ejected.add(member);
            if (member.health().isProbeDue(nowNanos) && member.hasSlot(nowNanos)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    /** Returns when an order without a grant last found no slot. Reports of open slots from before are stale. */
    long openSlotRefusedAt() {
        return openSlotRefusedAt;
    }

    void openSlotRefused(long nowNanos) {
        openSlotRefusedAt = nowNanos;
    }

    /** Returns the number of slots that the queued tasks could use at each worker, if spread evenly. */
    int wantedPerMember() {
        return membersInService == 0 ? 0 : (queue.size() + membersInService - 1) / membersInService;
    }

    // -- capacity

    /**
     * Returns the number of slots that serve this entry's queue, smoothed over time: all slots in service while the
     * queue is empty, otherwise those in use by this entry.
     */
    double capacity(long nowNanos) {
        double target = queue.isEmpty() ? slotsInService : Math.min(slotsInService, Math.max(1, running));
        double decay = Math.exp(-(nowNanos - capacityUpdatedAt) / CAPACITY_DECAY_NANOS);
        capacity = target + (capacity - target) * decay;
        capacityUpdatedAt = nowNanos;
        return Math.max(1, Math.min(capacity, slotsInService));
    }

    /**
     * Returns the number of slots that this entry uses or could use immediately. While it has no work, these are all
     * slots in service, since nothing indicates that it would not get them.
     */
    int availableSlots() {
        return running == 0 && queue.isEmpty() ? slotsInService : running + ready.freeSlots();
    }

    void attemptStarted() {
        running++;
    }

    void attemptEnded() {
        running--;
    }

    // -- members

    void add(PoolMember member) {
        member.position(members.size());
        members.add(member);
    }

    void remove(PoolMember member) {
        PoolMember last = members.remove(members.size() - 1);
        if (last != member) {
            members.set(member.position(), last);
            last.position(member.position());
        }
        ejected.remove(member);
        requestedWorkers.remove(member.worker());
        ready.set(member, false);
        openSlots.set(member.openSlots(), false);
        member.health().leave();
    }

    void refresh(long nowNanos, PoolMember member) {
        ready.set(member, member.isReady(nowNanos));
        openSlots.set(member.openSlots(), member.hasOpenSlots(nowNanos));
        if (member.health().state() == HealthState.EJECTED) {
            ejected.add(member);
        } else {
            ejected.remove(member);
        }
    }

    void countInService(PoolMember member, int sign) {
        membersInService += sign;
        slotsInService += sign * member.worker().info().slots();
    }

    /** Restores one ejected worker if more are ejected than the limit allows. */
    Optional<PoolMember> restoreExcessEjected() {
        if (!peers.exceedsEjectionLimit() || ejected.isEmpty()) {
            return Optional.empty();
        }
        PoolMember member = ejected.iterator().next();
        member.health().startRampUp();
        return Optional.of(member);
    }

    /** Starts a round of slot requests if one is due: when the first task is queued, and at intervals after that. */
    boolean startRequestRound(long nowNanos, long intervalNanos) {
        boolean due = !queue.isEmpty() && (!requesting || nowNanos - requestedAt >= intervalNanos);
        requesting = !queue.isEmpty();
        if (due) {
            requestedAt = nowNanos;
        }
        return due;
    }

    /** Returns the workers that slots were requested from since the queue was last empty. */
    Set<Worker> requestedWorkers() {
        return requestedWorkers;
    }

    /** Returns the timer of the next drain of the queue, created on first use. */
    Timers.Timer drainTimer(Supplier<Timers.Timer> factory) {
        drainTimer = drainTimer.or(() -> Optional.of(factory.get()));
        return drainTimer.get();
    }

    /** Returns the next member in turn to request slots from. */
    PoolMember nextMemberToRequest() {
        requestIndex = (requestIndex + 1) % members.size();
        return members.get(requestIndex);
    }
}
