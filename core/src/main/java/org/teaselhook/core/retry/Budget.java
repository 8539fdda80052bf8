package org.teaselhook.core.retry;

/**
 * A budget that earns a fraction of a unit with each first attempt and pays one for each further attempt, so that
 * further attempts stay below that fraction of the load.
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
     * @param earnedPerAttempt what each first attempt earns, from 0 to 1
     * @param limit the most that can be saved up, at least 1
     * @return the budget
     */
    public static Budget of(double earnedPerAttempt, double limit) {
        return new Budget(earnedPerAttempt, limit);
    }

    // -- updates

    /** Notes a first attempt. */
    public void earn() {
        balance = Math.min(limit, balance + earnedPerAttempt);
    }

    /**
     * Tells whether the budget would pay for a further attempt.
     *
     * @return true if it holds a unit or more
     */
    public boolean isCovered() {
        return balance >= 1;
    }

    /** Pays for something that has happened; the budget may fall as far below zero as can be saved up. */
    public void charge() {
        balance = Math.max(-limit, balance - 1);
    }

    /**
     * Pays for a further attempt.
     *
     * @return true if the budget allows it
     */
    public boolean spend() {
        if (!isCovered()) {
            return false;
        }
        balance--;
        return true;
    }
}
