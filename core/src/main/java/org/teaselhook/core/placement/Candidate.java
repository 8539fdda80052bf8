package org.teaselhook.core.placement;

/**
 * A worker that a placement policy may choose for a task. Belongs to at most one {@link CandidateSet} at a time.
 */
public abstract class Candidate {

    static final int ABSENT = -1;

    private int index = ABSENT;

    /** Creates a candidate that belongs to no set. */
    protected Candidate() {}

    // -- accessors

    /**
     * Returns the number of free slots as known to this entry.
     *
     * @return the number, from 0
     */
    public abstract int freeSlots();

    /**
     * Tells whether the worker is in the entry's own availability zone.
     *
     * @return true if messages to the worker stay within the zone
     */
    public abstract boolean isInSameZone();

    // -- index in the set

    final int index() {
        return index;
    }

    final void index(int newIndex) {
        index = newIndex;
    }

    final boolean isBetterThan(Candidate other) {
        return isInSameZone() != other.isInSameZone() ? isInSameZone() : freeSlots() > other.freeSlots();
    }
}
