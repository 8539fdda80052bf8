package org.teaselhook.core.health;

/**
 * Sums over the workers that are compared with each other, so that a comparison takes O(1).
 */
public final class PeerGroup {

    private static final int EJECTED_SHARE = 3;

    private int size;
    private int ejected;
    private double failures;
    private double slowness;

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
     * @return the number, from 0
     */
    public int size() {
        return size;
    }

    /**
     * Returns the number of members that get no more than probes.
     *
     * @return the number, at most a third of the members unless members left since, at least 1 among two
     */
    public int ejected() {
        return ejected;
    }

    /**
     * Tells whether more members are ejected than the bound allows.
     *
     * @return true if one should be restored
     */
    public boolean exceedsBound() {
        return ejected > bound();
    }

    boolean canEject() {
        return ejected < bound();
    }

    private int bound() {
        return size < 2 ? 0 : Math.max(1, size / EJECTED_SHARE);
    }

    /** The mean share of failures among the counted members but one. */
    double failuresWithout(double own) {
        return mean(failures - own);
    }

    /** The mean logarithm of the slowness among the counted members but one. */
    double slownessWithout(double own) {
        return mean(slowness - own);
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

    void change(double failureChange, double slownessChange) {
        failures += failureChange;
        slowness += slownessChange;
    }
}
