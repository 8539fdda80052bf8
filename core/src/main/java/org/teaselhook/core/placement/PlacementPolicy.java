package org.teaselhook.core.placement;

import java.util.random.RandomGenerator;

/**
 * How a worker is chosen for a task. Each choice takes O(1), whatever the number of workers.
 */
public enum PlacementPolicy {
    /** A worker that has granted a slot to this entry; the order never finds the worker full. */
    GRANTS(3, true),
    /** Any worker at random; the agent rejects the order when it is full. */
    RANDOM(1, false),
    /** The less loaded of two workers drawn at random; the agent rejects the order when it is full. */
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
     * Chooses the best of a few workers drawn at random.
     *
     * @param <C> the type of the workers
     * @param ready the workers that can take a task, at least one
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
