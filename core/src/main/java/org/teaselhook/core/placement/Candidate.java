package org.teaselhook.core.placement;

/**
 * A worker as seen by the choice of one for a task. Belongs to at most one {@link CandidateSet} at a time.
 */
public abstract class Candidate {

    static final int ABSENT = -1;

    private int index = ABSENT;

    /** Creates a candidate that belongs to no set. */
    protected Candidate() {}

    // -- accessors

    /**
     * Returns the slots that are free as far as this entry knows.
     *
     * @return the number of slots
     */
    public abstract int free();

    /**
     * Tells whether the worker is in the entry's own availability zone.
     *
     * @return true if no message to it leaves the zone
     */
    public abstract boolean near();

    // -- place in the set

    final int index() {
        return index;
    }

    final void index(int newIndex) {
        index = newIndex;
    }

    final boolean isBetterThan(Candidate other) {
        return near() != other.near() ? near() : free() > other.free();
    }
}
