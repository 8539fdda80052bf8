package org.teaselhook.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * The workers that can take a task now. Adding, removing and choosing at random take O(1).
 *
 * @param <C> the type of the workers
 */
public final class CandidateSet<C extends Candidate> {

    private final List<C> members = new ArrayList<>();

    private CandidateSet() {}

    // -- factories

    /**
     * Returns an empty set.
     *
     * @param <C> the type of the workers
     * @return the set
     */
    public static <C extends Candidate> CandidateSet<C> empty() {
        return new CandidateSet<>();
    }

    // -- accessors

    /**
     * Tells whether no worker can take a task.
     *
     * @return true if empty
     */
    public boolean isEmpty() {
        return members.isEmpty();
    }

    /**
     * Returns the number of workers.
     *
     * @return the number, from 0
     */
    public int size() {
        return members.size();
    }

    /**
     * Tells whether a worker can take a task.
     *
     * @param candidate the worker, not a member of another set
     * @return true if it is a member
     */
    public boolean contains(C candidate) {
        return candidate.index() >= 0;
    }

    /**
     * Adds up the free slots of all candidates. Takes time in proportion to their number.
     *
     * @return the sum
     */
    public int freeSlots() {
        return members.stream().mapToInt(Candidate::freeSlots).sum();
    }

    /**
     * Chooses a worker uniformly at random.
     *
     * @param random the source of randomness
     * @return any member
     * @throws IllegalArgumentException if the set is empty
     */
    public C draw(RandomGenerator random) {
        return members.get(random.nextInt(members.size()));
    }

    // -- updates

    /**
     * Adds or removes a worker.
     *
     * @param candidate the worker
     * @param present whether it belongs to the set from now on
     */
    public void set(C candidate, boolean present) {
        if (present == candidate.index() >= 0) {
            return;
        }
        if (present) {
            candidate.index(members.size());
            members.add(candidate);
        } else {
            remove(candidate);
        }
    }

    private void remove(C candidate) {
        C last = members.remove(members.size() - 1);
        if (last != candidate) {
            members.set(candidate.index(), last);
            last.index(candidate.index());
        }
        candidate.index(Candidate.ABSENT);
    }
}
