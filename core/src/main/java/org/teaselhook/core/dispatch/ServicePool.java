package org.teaselhook.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import org.teaselhook.core.estimate.RunTimeEstimate;
import org.teaselhook.core.estimate.RunTimes;
import org.teaselhook.core.health.HealthState;
import org.teaselhook.core.health.PeerGroup;
import org.teaselhook.core.placement.CandidateSet;
import org.teaselhook.core.queue.FairQueue;

/**
 * A service at this entry: its queue, its workers, and the slots that its queue is served by.
 */
final class ServicePool {

    private static final int PROBES_EXAMINED = 4;
    private static final double CAPACITY_MEMORY_NANOS = 500_000_000.0;

    private final String service;
    private final boolean usesGrants;
    private final FairQueue<ActiveTask> queue = FairQueue.empty();
    private final RunTimes runTimes = RunTimes.empty();
    private final PeerGroup peers = PeerGroup.empty();
    private final CandidateSet<Member> ready = CandidateSet.empty();
    private final CandidateSet<OpenSlots> open = CandidateSet.empty();
    private final List<Member> members = new ArrayList<>();
    private final Set<Member> ejected = new LinkedHashSet<>();
    private final Set<Worker> asked = new LinkedHashSet<>();
    private Optional<Timers.Timer> nextRound = Optional.empty();
    private int running;
    private int slotsInService;
    private int membersInService;
    private double capacity;
    private long capacityAt;
    private long refusedOpenAt = Long.MIN_VALUE / 2;
    private int nextAnnounced;
    private boolean announcing;
    private long announcedAt;

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

    CandidateSet<Member> ready() {
        return ready;
    }

    /** Returns the workers that would probably start an order without a grant. */
    CandidateSet<OpenSlots> open() {
        return open;
    }

    List<Member> members() {
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

    /** Finds an ejected worker that may get a probe now. Looks at a few of them in turn, whatever their number. */
    Optional<Member> dueForProbe(long nowNanos) {
        int looked = Math.min(PROBES_EXAMINED, ejected.size());
        for (int i = 0; i < looked; i++) {
            Member member = ejected.iterator().next();
            ejected.remove(member);
            ejected.add(member);
            if (member.health().isProbeDue(nowNanos) && member.hasSlot(nowNanos)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    /** Returns when an order without a grant last found no slot: what was heard of open slots before is in doubt. */
    long refusedOpenAt() {
        return refusedOpenAt;
    }

    void refusedOpen(long nowNanos) {
        refusedOpenAt = nowNanos;
    }

    /** Returns the slots this wait could use at one more worker. */
    int wantedPerMember() {
        return membersInService == 0 ? 0 : (queue.size() + membersInService - 1) / membersInService;
    }

    // -- capacity

    /**
     * Returns the slots that serve this entry's queue: all those in service while nothing waits, and those that it is
     * seen to get while something does.
     */
    double capacity(long nowNanos) {
        double target = queue.isEmpty() ? slotsInService : Math.min(slotsInService, Math.max(1, running));
        double kept = Math.exp(-(nowNanos - capacityAt) / CAPACITY_MEMORY_NANOS);
        capacity = target + (capacity - target) * kept;
        capacityAt = nowNanos;
        return Math.max(1, Math.min(capacity, slotsInService));
    }

    /**
     * Returns the slots that this entry uses and those that it could use at once; all in service while it has no work,
     * as nothing tells then that it would not get them.
     */
    int slotsAtHand() {
        return running == 0 && queue.isEmpty() ? slotsInService : running + ready.free();
    }

    void opened() {
        running++;
    }

    void closed() {
        running--;
    }

    // -- members

    void add(Member member) {
        member.position(members.size());
        members.add(member);
    }

    void remove(Member member) {
        Member last = members.remove(members.size() - 1);
        if (last != member) {
            members.set(member.position(), last);
            last.position(member.position());
        }
        ejected.remove(member);
        asked.remove(member.worker());
        ready.set(member, false);
        open.set(member.openSlots(), false);
        member.health().leave();
    }

    void refresh(long nowNanos, Member member) {
        ready.set(member, member.isReady(nowNanos));
        open.set(member.openSlots(), member.isOpen(nowNanos));
        if (member.health().state() == HealthState.EJECTED) {
            ejected.add(member);
        } else {
            ejected.remove(member);
        }
    }

    void countInService(Member member, int sign) {
        membersInService += sign;
        slotsInService += sign * member.worker().info().slots();
    }

    /** Restores an ejected worker if more are ejected than the bound allows. */
    Optional<Member> restoreBeyondBound() {
        if (!peers.exceedsBound() || ejected.isEmpty()) {
            return Optional.empty();
        }
        Member member = ejected.iterator().next();
        member.health().ramp();
        return Optional.of(member);
    }

    /** Tells whether to announce the wait now: when it has just begun, and at intervals after that. */
    boolean startAnnouncing(long nowNanos, long intervalNanos) {
        boolean due = !queue.isEmpty() && (!announcing || nowNanos - announcedAt >= intervalNanos);
        announcing = !queue.isEmpty();
        if (due) {
            announcedAt = nowNanos;
        }
        return due;
    }

    /** Returns the workers that were asked for slots since tasks began to wait. */
    Set<Worker> asked() {
        return asked;
    }

    /** Returns the timer of the next look at the queue, made by the given function at first. */
    Timers.Timer nextRound(Supplier<Timers.Timer> maker) {
        nextRound = nextRound.or(() -> Optional.of(maker.get()));
        return nextRound.get();
    }

    /** Returns the next member in turn, to hear of the wanted slots. */
    Member nextToAnnounce() {
        nextAnnounced = (nextAnnounced + 1) % members.size();
        return members.get(nextAnnounced);
    }
}
