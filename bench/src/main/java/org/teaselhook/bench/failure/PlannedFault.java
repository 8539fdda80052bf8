package org.teaselhook.bench.failure;

import java.util.List;

/**
 * A fault at its time.
 *
 * @param kind the kind
 * @param subjects the names of what it strikes
 * @param variant draws between variants of the kind, from 0 to 2
 * @param beginMillis when it begins, in milliseconds since the start of the run
 * @param endMillis when it ends
 */
record PlannedFault(FaultKind kind, List<String> subjects, int variant, long beginMillis, long endMillis) {

    PlannedFault {
        subjects = List.copyOf(subjects);
    }

    boolean overlaps(PlannedFault other) {
        return beginMillis < other.goneMillis() && other.beginMillis < goneMillis();
    }

    /** Returns when the last effect of the fault is gone. */
    private long goneMillis() {
        return endMillis + kind.lingersMillis();
    }

    /** Tells whether both strike the same thing, however named in links. */
    boolean shares(PlannedFault other) {
        return subjects.stream().anyMatch(other.subjects::contains);
    }
}
