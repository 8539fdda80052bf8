package org.teaselhook.core.dispatch;

/**
 * A fault in the program: the state contradicts an {@link Invariant}. Raised before the effect that would break it.
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
