package org.teaselhook.core.dispatch;

import org.teaselhook.core.placement.Candidate;

/**
 * A worker's slots that this entry holds no grant for and that were free by the agent's last report.
 */
final class OpenSlots extends Candidate {

    private final PoolMember member;

    OpenSlots(PoolMember member) {
        this.member = member;
    }

    PoolMember member() {
        return member;
    }

    @Override
    public int freeSlots() {
        return member.worker().openSlots();
    }

    /** Always false: the number of slots takes precedence over the zone, since the report may be stale. */
    @Override
    public boolean isInSameZone() {
        return false;
    }
}
