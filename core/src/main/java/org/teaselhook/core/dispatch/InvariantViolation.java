package org.teaselhook.core.dispatch;

/**
 * A programming error: an {@link Invariant} does not hold. Thrown before the effect that would violate it.
 */
public final class InvariantViolation extends IllegalStateException {

    private static final long serialVersionUID = 1L;

    private final Invariant invariant;

    InvariantViolation(Invariant invariant, String subject) {
        super(invariant + " " + subject + ": " + invariant.remedy());
        this.invariant = invariant;
    }

    /**
     * Returns the invariant that does not hold.
     *
     * @return the invariant
     */
    public Invariant invariant() {
        return invariant;
    }
}
