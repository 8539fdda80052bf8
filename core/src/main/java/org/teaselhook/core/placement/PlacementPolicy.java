package org.teaselhook.core.placement;

import java.util.random.RandomGenerator;

/**
 * A policy that chooses a worker for a task. Each choice takes O(1), whatever the number of workers.
 */
public enum PlacementPolicy {
    /** The best of three random workers that have granted this entry a slot; the order always finds a free slot. */
    GRANTS(3, true),
    /** A random worker; its agent refuses the order when it is full. */
    RANDOM(1, false),
    /** The less loaded of two random workers; its agent refuses the order when it is full. */
    LEAST_OF_TWO(2, false);

    private final int draws;
    private final boolean usesGrants;

    PlacementPolicy(int draws, boolean usesGrants) {
        this.draws = draws;
        this.usesGrants = usesGrants;
    }

    /**
     * Tells whether orders use granted slots.
     *
     * @return true if an order is sent only on a granted slot
     */
    public boolean usesGrants() {
        return usesGrants;
    }

    /**
     * Chooses the best of a few random workers.
     *
     * @param <C> the type of the workers
     * @param ready the workers that can take a task, not empty
     * @param random the source of randomness
     * @return the chosen worker
     */
    public <C extends Candidate> C choose(CandidateSet<C> ready, RandomGenerator random) {
        C best = ready.draw(random);
        for (int i = 1; i < draws; i++) {
            C other = ready.draw(random);
            if (other.isBetterThan(best)) {
                best = other;
            }
        }
        return best;
    }
}
