package org.teaselhook.core.dispatch;

import org.teaselhook.core.placement.Candidate;

/**
 * A worker's slots that this entry holds no grant for, and that were free by the agent's last word.
 */
final class OpenSlots extends Candidate {

    private final Member member;

    OpenSlots(Member member) {
        this.member = member;
    }

    Member member() {
        return member;
    }

    @Override
    public int free() {
        return member.worker().open();
    }

    /** The number counts before the zone, since the word may be out of date. */
    @Override
    public boolean near() {
        return false;
    }
}
