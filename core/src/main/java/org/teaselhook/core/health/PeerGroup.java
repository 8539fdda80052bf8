package org.teaselhook.core.health;

/**
 * Aggregates over the workers that are compared with each other, maintained so that a comparison takes O(1).
 */
public final class PeerGroup {

    private static final int MEMBERS_PER_EJECTION = 3;

    private int size;
    private int ejected;
    private double failureRateSum;
    private double slownessSum;

    private PeerGroup() {}

    // -- factories

    /**
     * Returns a group without members.
     *
     * @return the group
     */
    public static PeerGroup empty() {
        return new PeerGroup();
    }

    // -- accessors

    /**
     * Returns the number of members.
     *
     * @return the number of members
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of ejected members.
     *
     * @return the number: at most a third of the members, or 1 of 2, unless members have left since
     */
    public int ejected() {
        return ejected;
    }

    /**
     * Tells whether more members are ejected than the limit allows.
     *
     * @return true if one should be readmitted
     */
    public boolean exceedsEjectionLimit() {
        return ejected > ejectionLimit();
    }

    boolean canEject() {
        return ejected < ejectionLimit();
    }

    private int ejectionLimit() {
        return size < 2 ? 0 : Math.max(1, size / MEMBERS_PER_EJECTION);
    }

    /** Returns the mean failure rate of the members that are not ejected, excluding one. */
    double meanFailureRateWithout(double own) {
        return mean(failureRateSum - own);
    }

    /** Returns the mean logarithmic slowness of the members that are not ejected, excluding one. */
    double meanSlownessWithout(double own) {
        return mean(slownessSum - own);
    }

    private double mean(double sum) {
        int others = size - ejected - 1;
        return others <= 0 ? 0 : sum / others;
    }

    // -- updates

    void changeSize(int change) {
        size += change;
    }

    void changeEjected(int change) {
        ejected += change;
    }

    void change(double failureRateChange, double slownessChange) {
        failureRateSum += failureRateChange;
        slownessSum += slownessChange;
    }
}
