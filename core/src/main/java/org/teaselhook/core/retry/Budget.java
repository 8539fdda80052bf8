package org.teaselhook.core.retry;

/**
 * A token bucket that limits further attempts, such as retries: each first attempt adds a fraction of a token and each
 * further attempt costs one token, so that further attempts stay below that fraction of the load.
 *
 * <pre>{@code
 * Budget retries = Budget.of(0.1, 20);
 * retries.earn();
 * boolean allowed = retries.spend();
 * }</pre>
 */
public final class Budget {

    private final double earnedPerAttempt;
    private final double limit;
    private double balance;

    private Budget(double earnedPerAttempt, double limit) {
        this.earnedPerAttempt = earnedPerAttempt;
        this.limit = limit;
        this.balance = limit;
    }

    // -- factories

    /**
     * Returns a full budget.
     *
     * @param earnedPerAttempt the fraction of a token that each first attempt adds, from 0 to 1
     * @param limit the capacity in tokens, at least 1
     * @return the budget
     */
    public static Budget of(double earnedPerAttempt, double limit) {
        return new Budget(earnedPerAttempt, limit);
    }

    // -- updates

    /** Records a first attempt. */
    public void earn() {
        balance = Math.min(limit, balance + earnedPerAttempt);
    }

    /**
     * Tells whether the budget allows a further attempt.
     *
     * @return true if at least one token is left
     */
    public boolean isCovered() {
        return balance >= 1;
    }

    /** Charges one token unconditionally; the balance may fall to minus the limit. */
    public void charge() {
        balance = Math.max(-limit, balance - 1);
    }

    /**
     * Takes a token for a further attempt, if one is left.
     *
     * @return true if the attempt is allowed
     */
    public boolean spend() {
        if (!isCovered()) {
            return false;
        }
        balance--;
        return true;
    }
}
