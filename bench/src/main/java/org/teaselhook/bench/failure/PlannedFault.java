package org.teaselhook.bench.failure;

import java.util.List;

/**
 * A scheduled fault.
 *
 * @param kind the kind
 * @param subjects the names of the affected components
 * @param variant selects a variant of the kind, from 0 to 2
 * @param beginMillis when it begins, in milliseconds since the start of the run
 * @param endMillis when it ends, in milliseconds since the start of the run
 */
record PlannedFault(FaultKind kind, List<String> subjects, int variant, long beginMillis, long endMillis) {

    PlannedFault {
        subjects = List.copyOf(subjects);
    }

    boolean overlaps(PlannedFault other) {
        return beginMillis < other.effectEndMillis() && other.beginMillis < effectEndMillis();
    }

    /** Returns when the last effect of the fault ends. */
    private long effectEndMillis() {
        return endMillis + kind.lingeringMillis();
    }

    /** Tells whether both faults affect a component of the same name. */
    boolean sharesSubjectWith(PlannedFault other) {
        return subjects.stream().anyMatch(other.subjects::contains);
    }
}
